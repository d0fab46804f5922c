#include "toucanmux/version/list-codec.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <unordered_set>

#include "toucanmux/error.h"

namespace toucanmux {

namespace {

using json = nlohmann::json;

// A JSON value that knows its line, which the library's own values do not.
struct node {
  json::value_t kind = json::value_t::null;
  std::size_t line = 1;
  json scalar;
  std::vector<std::string> names;  // Of an object's items, in their order.
  std::vector<node> items;

  const node* find(std::string_view name) const {
    auto it = std::find(names.begin(), names.end(), name);
    return it == names.end() ? nullptr : &items[it - names.begin()];
  }
};

[[noreturn]] void fail(std::size_t line, const std::string& what) {
  throw list_error("line " + std::to_string(line) + ": " + what);
}

std::string quote(std::string_view text) {
  return "'" + std::string(text) + "'";
}

// Counts the lines as the parser takes the characters.
class line_iterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  line_iterator(const char* at, std::size_t* line) : at_(at), line_(line) {}

  reference operator*() const { return *at_; }
  line_iterator& operator++() {
    // The parser looks one character past a number, so a line counts only
    // when the parser goes on behind its end.
    if (ended_line_) ++*line_;
    ended_line_ = *at_ == '\n';
    ++at_;
    return *this;
  }
  line_iterator operator++(int) {
    auto before = *this;
    ++*this;
    return before;
  }
  bool operator==(const line_iterator& other) const { return at_ == other.at_; }

 private:
  const char* at_;
  std::size_t* line_;
  bool ended_line_ = false;
};

// Builds the tree of nodes.
class tree_builder : public nlohmann::json_sax<json> {
 public:
  explicit tree_builder(const std::size_t& line) : line_(line) {}

  node take_root() { return std::move(root_); }

  bool null() override { return scalar(nullptr); }
  bool boolean(bool value) override { return scalar(value); }
  bool number_integer(number_integer_t value) override { return scalar(value); }
  bool number_unsigned(number_unsigned_t value) override {
    return scalar(value);
  }
  bool number_float(number_float_t value, const string_t&) override {
    return scalar(value);
  }
  bool string(string_t& value) override { return scalar(std::move(value)); }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override {
    return open(json::value_t::object);
  }
  bool start_array(std::size_t) override { return open(json::value_t::array); }
  bool end_object() override { return close(); }
  bool end_array() override { return close(); }

  bool key(string_t& name) override {
    node& object = *stack_.back();
    if (object.find(name) != nullptr) {
      fail(line_, "field " + quote(name) + " stands twice: remove one");
    }
    object.names.push_back(std::move(name));
    return true;
  }

  // The token stays out of the message: it may be a key pasted by mistake.
  bool parse_error(std::size_t, const std::string&,
                   const nlohmann::detail::exception&) override {
    fail(line_, "not JSON here: check commas, quotes and brackets");
  }

 private:
  node& add() {
    return stack_.empty() ? root_ : stack_.back()->items.emplace_back();
  }

  bool scalar(json value) {
    node& made = add();
    made.kind = value.type();
    made.line = line_;
    made.scalar = std::move(value);
    return true;
  }

  bool open(json::value_t kind) {
    // Deeper than any list; bounds the stack on hostile text.
    if (stack_.size() >= 8) fail(line_, "nested too deep: remove a level");
    node& made = add();
    made.kind = kind;
    made.line = line_;
    stack_.push_back(&made);
    return true;
  }

  bool close() {
    stack_.pop_back();
    return true;
  }

  const std::size_t& line_;
  node root_;
  std::vector<node*> stack_;
};

node parse_tree(std::string_view text) {
  std::size_t line = 1;
  tree_builder builder(line);
  line_iterator first(text.data(), &line);
  line_iterator last(text.data() + text.size(), &line);
  if (!json::sax_parse(first, last, &builder)) {
    fail(line, "not JSON: check commas, quotes and brackets");
  }
  return builder.take_root();
}

// Reads the fields of one object and notices those that nobody asked for.
class object_reader {
 public:
  object_reader(const node& object, std::string what)
      : object_(object), what_(std::move(what)) {
    if (object.kind != json::value_t::object) {
      fail(object.line, what_ + " must be an object in braces");
    }
  }

  std::size_t line() const { return object_.line; }

  std::string name(std::string_view field) {
    auto text = string(field);
    if (text.empty()) {
      fail(need(field).line,
           what_ + " has an empty " + quote(field) + ": give it a name");
    }
    return text;
  }

  std::string string(std::string_view field) {
    const node& value = need(field);
    if (value.kind != json::value_t::string) {
      fail(value.line, quote(field) + " must be a string in quotes");
    }
    return value.scalar.get<std::string>();
  }

  bool boolean(std::string_view field, bool otherwise) {
    const node* value = find(field);
    if (value == nullptr) return otherwise;
    if (value->kind != json::value_t::boolean) {
      fail(value->line, quote(field) + " must be true or false");
    }
    return value->scalar.get<bool>();
  }

  double positive(std::string_view field, double otherwise) {
    const node* value = find(field);
    if (value == nullptr) return otherwise;
    double number = value->scalar.is_number() ? value->scalar.get<double>() : 0;
    if (number <= 0) {
      fail(value->line, quote(field) + " must be a number above 0");
    }
    return number;
  }

  double positive(std::string_view field) {
    need(field);
    return positive(field, 0);
  }

  std::uint64_t whole(std::string_view field, std::uint64_t least,
                      std::uint64_t most) {
    const node& value = need(field);
    bool fits = value.kind == json::value_t::number_unsigned;
    auto number = fits ? value.scalar.get<std::uint64_t>() : 0;
    if (!fits || number < least || number > most) {
      fail(value.line, quote(field) + " must be a whole number from " +
                           std::to_string(least) + " to " +
                           std::to_string(most));
    }
    return number;
  }

  const std::vector<node>& list(std::string_view field) {
    const node& value = need(field);
    if (value.kind != json::value_t::array) {
      fail(value.line, quote(field) + " must be a list in brackets");
    }
    return value.items;
  }

  const std::vector<node>& list_or_empty(std::string_view field) {
    static const std::vector<node> nothing;
    return find(field) == nullptr ? nothing : list(field);
  }

  const node& need(std::string_view field) {
    const node* value = find(field);
    if (value != nullptr) return *value;
    fail(line(), what_ + " lacks " + quote(field) + ": add it");
  }

  /// Call last: refuses what was not read, such as a misspelt field.
  void finish() const {
    for (const auto& field : object_.names) {
      if (asked_.contains(field)) continue;
      std::string known;
      for (const auto& one : asked_) known += " " + one;
      fail(object_.find(field)->line, "unknown field " + quote(field) + " of " +
                                          what_ + ": remove it or use one of" +
                                          known);
    }
  }

 private:
  const node* find(std::string_view field) {
    asked_.emplace(field);
    return object_.find(field);
  }

  const node& object_;
  std::string what_;
  std::set<std::string, std::less<>> asked_;
};

// Refuses the second of two equal names.
class unique_names {
 public:
  explicit unique_names(std::string what) : what_(std::move(what)) {}

  void add(const std::string& name, std::size_t line) {
    if (seen_.insert(name).second) return;
    fail(line, what_ + " " + quote(name) + " stands twice: remove one");
  }

 private:
  std::string what_;
  std::unordered_set<std::string> seen_;
};

constexpr std::size_t hash_digits = 64;

bool is_key_hash(std::string_view text) {
  return text.size() == hash_digits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string read_key_hash(const node& value) {
  auto text = value.kind == json::value_t::string
                  ? value.scalar.get<std::string>()
                  : std::string();
  // A key pasted in place of its hash must not end up in a log.
  if (!is_key_hash(text)) {
    fail(value.line,
         "a key hash must be SHA-256 in 64 lower-case hex digits: make it "
         "with toucanmux-ctl");
  }
  return text;
}

team read_team(const node& value, unique_names& ids, unique_names& hashes) {
  object_reader reader(value, "a team");
  team read;
  read.id = team_id(reader.name("id"));
  ids.add(read.id.value, reader.need("id").line);
  read.plan = plan_id(reader.name("plan"));
  read.rate = reader.positive("rate", 0);
  read.burst = reader.positive("burst", 0);
  for (const node& hash : reader.list_or_empty("key_hashes")) {
    read.key_hashes.push_back(read_key_hash(hash));
    hashes.add(read.key_hashes.back(), hash.line);
  }
  reader.finish();
  return read;
}

void check_plan(const node& value, const team& who, const plan_list& plans) {
  std::string known;
  for (const auto& one : plans.plans) {
    if (one.id == who.plan) return;
    known += " " + one.id.value;
  }
  object_reader reader(value, "a team");
  fail(reader.need("plan").line,
       "team " + quote(who.id.value) + " has the unknown plan " +
           quote(who.plan.value) + ": add it to the plans or use one of" +
           known);
}

access_class read_access(object_reader& reader) {
  auto word = reader.string("access");
  for (auto access :
       {access_class::read, access_class::write, access_class::transaction}) {
    if (to_string(access) == word) return access;
  }
  fail(reader.need("access").line, "unknown access class " + quote(word) +
                                       ": use read, write or transaction");
}

// What a route is compared by; no service has a space in its access word.
std::string route_name(const service_id& service, access_class access) {
  return service.value + " " + std::string(to_string(access));
}

route read_route(const node& value, unique_names& seen) {
  object_reader reader(value, "a route");
  route read;
  read.service = service_id(reader.name("service"));
  read.access = read_access(reader);
  seen.add(route_name(read.service, read.access), reader.line());
  reader.finish();
  return read;
}

open_route read_open_route(const node& value, unique_names& seen) {
  object_reader reader(value, "an open route");
  open_route read;
  read.service = service_id(reader.name("service"));
  read.access = read_access(reader);
  read.rate = reader.positive("rate");
  read.burst = reader.positive("burst");
  seen.add(route_name(read.service, read.access), reader.line());
  reader.finish();
  return read;
}

plan read_plan(const node& value, unique_names& ids) {
  object_reader reader(value, "a plan");
  plan read;
  read.id = plan_id(reader.name("id"));
  ids.add(read.id.value, reader.need("id").line);
  read.rate = reader.positive("rate");
  read.burst = reader.positive("burst");
  read.weight = reader.positive("weight", 1);
  unique_names routes("route");
  for (const node& way : reader.list("routes")) {
    read.routes.push_back(read_route(way, routes));
  }
  reader.finish();
  return read;
}

std::uint32_t read_count(object_reader& reader, std::string_view field) {
  return static_cast<std::uint32_t>(reader.whole(field, 1, 1'000'000));
}

database read_database(const node& value, unique_names& ids) {
  object_reader reader(value, "a database");
  database read;
  read.id = database_id(reader.name("id"));
  ids.add(read.id.value, reader.need("id").line);
  read.domain = domain_id(reader.name("domain"));
  read.address = reader.name("address");
  read.port = static_cast<std::uint16_t>(
      reader.whole("port", 1, std::numeric_limits<std::uint16_t>::max()));
  read.slots = read_count(reader, "slots");
  read.connection_limit = read_count(reader, "connection_limit");
  read.leaving = reader.boolean("leaving", false);
  reader.finish();
  return read;
}

// A line for each item, so that an error's line leads to the item.
std::string print_items(std::string_view field, const json& items) {
  std::string out = "\"" + std::string(field) + "\":[";
  for (std::size_t i = 0; i < items.size(); ++i) {
    out += (i == 0 ? "\n" : ",\n") + items[i].dump();
  }
  return out + "\n]";
}

json to_json(const route& way) {
  return {{"service", way.service.value}, {"access", to_string(way.access)}};
}

json to_json(const team& one) {
  json out{{"id", one.id.value},
           {"plan", one.plan.value},
           {"key_hashes", one.key_hashes}};
  if (one.rate > 0) out["rate"] = one.rate;
  if (one.burst > 0) out["burst"] = one.burst;
  return out;
}

json to_json(const plan& one) {
  json out{{"id", one.id.value},
           {"rate", one.rate},
           {"burst", one.burst},
           {"weight", one.weight},
           {"routes", json::array()}};
  for (const auto& way : one.routes) out["routes"].push_back(to_json(way));
  return out;
}

json to_json(const open_route& open) {
  json out = to_json(route{open.service, open.access});
  out["rate"] = open.rate;
  out["burst"] = open.burst;
  return out;
}

json to_json(const database& one) {
  return {{"id", one.id.value},     {"domain", one.domain.value},
          {"address", one.address}, {"port", one.port},
          {"slots", one.slots},     {"connection_limit", one.connection_limit},
          {"leaving", one.leaving}};
}

template <class Items>
std::string print_list(std::string_view field, const Items& items) {
  json list = json::array();
  for (const auto& one : items) list.push_back(to_json(one));
  return print_items(field, list);
}

}  // namespace

std::string_view to_string(access_class access) {
  switch (access) {
    case access_class::read:
      return "read";
    case access_class::write:
      return "write";
    case access_class::transaction:
      return "transaction";
  }
  return "";
}

team_list parse_team_list(std::string_view text, std::uint64_t version,
                          const plan_list* plans) {
  node tree = parse_tree(text);
  object_reader reader(tree, "the list of teams");
  team_list list;
  list.version = version;
  unique_names ids("team");
  unique_names hashes("key hash");
  for (const node& value : reader.list("teams")) {
    list.teams.push_back(read_team(value, ids, hashes));
    if (plans != nullptr) check_plan(value, list.teams.back(), *plans);
  }
  reader.finish();
  return list;
}

plan_list parse_plan_list(std::string_view text, std::uint64_t version) {
  node tree = parse_tree(text);
  object_reader reader(tree, "the list of plans");
  plan_list list;
  list.version = version;
  unique_names ids("plan");
  unique_names open("open route");
  for (const node& value : reader.list("plans")) {
    list.plans.push_back(read_plan(value, ids));
  }
  for (const node& value : reader.list_or_empty("open_routes")) {
    list.open_routes.push_back(read_open_route(value, open));
  }
  reader.finish();
  return list;
}

database_group parse_database_group(std::string_view text) {
  node tree = parse_tree(text);
  object_reader reader(tree, "the group");
  database_group group;
  group.id = group_id(reader.name("id"));
  group.service = service_id(reader.name("service"));
  group.term =
      reader.whole("term", 1, std::numeric_limits<std::uint64_t>::max());
  group.primary = database_id(reader.name("primary"));
  group.nonce = reader.string("nonce");
  unique_names ids("database");
  for (const node& value : reader.list("databases")) {
    group.databases.push_back(read_database(value, ids));
  }
  bool known =
      std::any_of(group.databases.begin(), group.databases.end(),
                  [&](const auto& one) { return one.id == group.primary; });
  if (!known) {
    fail(reader.need("primary").line,
         "the primary " + quote(group.primary.value) +
             " is no database of the group: name one that is");
  }
  reader.finish();
  return group;
}

void check_plans_in_use(const plan_list& plans, const team_list& teams) {
  std::unordered_set<std::string_view> known;
  for (const auto& one : plans.plans) known.insert(one.id.value);
  for (const auto& one : teams.teams) {
    if (known.contains(one.plan.value)) continue;
    throw list_error("plan " + quote(one.plan.value) + " is held by team " +
                     quote(one.id.value) +
                     ": give the team another plan before this one goes");
  }
}

std::string to_json_text(const team_list& list) {
  return "{" + print_list("teams", list.teams) + "}\n";
}

std::string to_json_text(const plan_list& list) {
  return "{" + print_list("plans", list.plans) + ",\n" +
         print_list("open_routes", list.open_routes) + "}\n";
}

std::string to_json_text(const database_group& group) {
  json head{{"id", group.id.value},
            {"service", group.service.value},
            {"term", group.term},
            {"primary", group.primary.value},
            {"nonce", group.nonce}};
  std::string text = head.dump();
  text.pop_back();
  return text + ",\n" + print_list("databases", group.databases) + "}\n";
}

}  // namespace toucanmux
