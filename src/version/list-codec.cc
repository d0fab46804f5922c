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

// A JSON value with its line number, which nlohmann::json doesn't keep.
struct node {
  json::value_t kind = json::value_t::null;
  std::size_t line = 1;
  json scalar;
  std::vector<std::string> names;  // Keys of `items` in an object.
  std::vector<node> items;

  const node* find(std::string_view name) const {
    auto it = std::find(names.begin(), names.end(), name);
    return it == names.end() ? nullptr : &items[it - names.begin()];
  }
};

[[noreturn]] void fail(std::size_t line, const std::string& message) {
  throw list_error("line " + std::to_string(line) + ": " + message);
}

std::string quote(std::string_view text) {
  return "'" + std::string(text) + "'";
}

// A character iterator that counts the lines as the parser reads them.
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
    // The parser reads one character past a number. A line break is counted on
    // the next increment, so that the number keeps its own line.
    if (after_line_break_) ++*line_;
    after_line_break_ = *at_ == '\n';
    ++at_;
    return *this;
  }
  line_iterator operator++(int) {
    auto previous = *this;
    ++*this;
    return previous;
  }
  bool operator==(const line_iterator& other) const { return at_ == other.at_; }

 private:
  const char* at_;
  std::size_t* line_;
  bool after_line_break_ = false;
};

// Builds a tree of nodes from the parser's events.
class tree_builder : public nlohmann::json_sax<json> {
 public:
  explicit tree_builder(const std::size_t& line) : line_(line) {}

  node release_root() { return std::move(root_); }

  bool null() override { return add_scalar(nullptr); }
  bool boolean(bool value) override { return add_scalar(value); }
  bool number_integer(number_integer_t value) override {
    return add_scalar(value);
  }
  bool number_unsigned(number_unsigned_t value) override {
    return add_scalar(value);
  }
  bool number_float(number_float_t value, const string_t&) override {
    return add_scalar(value);
  }
  bool string(string_t& value) override { return add_scalar(std::move(value)); }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override {
    return open_container(json::value_t::object);
  }
  bool start_array(std::size_t) override {
    return open_container(json::value_t::array);
  }
  bool end_object() override { return close_container(); }
  bool end_array() override { return close_container(); }

  bool key(string_t& name) override {
    node& object = *stack_.back();
    if (object.find(name) != nullptr) {
      fail(line_, "field " + quote(name) + " occurs twice: remove one");
    }
    object.names.push_back(std::move(name));
    return true;
  }

  // The message doesn't repeat the token, which may be a key that was pasted by
  // mistake.
  bool parse_error(std::size_t, const std::string&,
                   const nlohmann::detail::exception&) override {
    fail(line_, "not JSON: check commas, quotes and brackets");
  }

 private:
  node& add_node() {
    return stack_.empty() ? root_ : stack_.back()->items.emplace_back();
  }

  bool add_scalar(json value) {
    node& added = add_node();
    added.kind = value.type();
    added.line = line_;
    added.scalar = std::move(value);
    return true;
  }

  bool open_container(json::value_t kind) {
    // Deeper than any valid list; bounds the stack on hostile input.
    if (stack_.size() >= 8) fail(line_, "nested too deeply: remove a level");
    node& added = add_node();
    added.kind = kind;
    added.line = line_;
    stack_.push_back(&added);
    return true;
  }

  bool close_container() {
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
  return builder.release_root();
}

// Reads the fields of one object and detects fields that were never read.
class object_reader {
 public:
  object_reader(const node& object, std::string description)
      : object_(object), description_(std::move(description)) {
    if (object.kind != json::value_t::object) {
      fail(object.line, description_ + " must be an object in braces");
    }
  }

  std::size_t line() const { return object_.line; }

  std::string name(std::string_view field) {
    auto text = string(field);
    if (text.empty()) {
      fail(require(field).line,
           description_ + " has an empty " + quote(field) + ": give it a name");
    }
    return text;
  }

  std::string string(std::string_view field) {
    const node& value = require(field);
    if (value.kind != json::value_t::string) {
      fail(value.line, quote(field) + " must be a string in quotes");
    }
    return value.scalar.get<std::string>();
  }

  bool boolean(std::string_view field, bool default_value) {
    const node* value = find(field);
    if (value == nullptr) return default_value;
    if (value->kind != json::value_t::boolean) {
      fail(value->line, quote(field) + " must be true or false");
    }
    return value->scalar.get<bool>();
  }

  double positive_number(std::string_view field, double default_value) {
    const node* value = find(field);
    if (value == nullptr) return default_value;
    double number = value->scalar.is_number() ? value->scalar.get<double>() : 0;
    if (number <= 0) {
      fail(value->line, quote(field) + " must be a number above 0");
    }
    return number;
  }

  double positive_number(std::string_view field) {
    require(field);
    return positive_number(field, 0);
  }

  std::uint64_t integer(std::string_view field, std::uint64_t minimum,
                        std::uint64_t maximum) {
    const node& value = require(field);
    bool fits = value.kind == json::value_t::number_unsigned;
    auto number = fits ? value.scalar.get<std::uint64_t>() : 0;
    if (!fits || number < minimum || number > maximum) {
      fail(value.line, quote(field) + " must be a whole number from " +
                           std::to_string(minimum) + " to " +
                           std::to_string(maximum));
    }
    return number;
  }

  const std::vector<node>& list(std::string_view field) {
    const node& value = require(field);
    if (value.kind != json::value_t::array) {
      fail(value.line, quote(field) + " must be a list in brackets");
    }
    return value.items;
  }

  const std::vector<node>& list_or_empty(std::string_view field) {
    static const std::vector<node> empty;
    return find(field) == nullptr ? empty : list(field);
  }

  const node& require(std::string_view field) {
    const node* value = find(field);
    if (value != nullptr) return *value;
    fail(line(), description_ + " lacks " + quote(field) + ": add it");
  }

  // Call last. Rejects fields that were not read, such as misspelt ones.
  void finish() const {
    for (const auto& field : object_.names) {
      if (requested_fields_.contains(field)) continue;
      std::string known;
      for (const auto& name : requested_fields_) known += " " + name;
      fail(object_.find(field)->line, "unknown field " + quote(field) + " of " +
                                          description_ +
                                          ": remove it or use one of" + known);
    }
  }

 private:
  const node* find(std::string_view field) {
    requested_fields_.emplace(field);
    return object_.find(field);
  }

  const node& object_;
  std::string description_;
  std::set<std::string, std::less<>> requested_fields_;
};

// Rejects names that occur twice.
class unique_names {
 public:
  explicit unique_names(std::string name_kind)
      : name_kind_(std::move(name_kind)) {}

  void add(const std::string& name, std::size_t line) {
    if (seen_.insert(name).second) return;
    fail(line, name_kind_ + " " + quote(name) + " occurs twice: remove one");
  }

 private:
  std::string name_kind_;
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
  // The message doesn't repeat the text: it may be a key pasted instead of its
  // hash, and the message is logged.
  if (!is_key_hash(text)) {
    fail(value.line,
         "a key hash must be SHA-256 in 64 lower-case hex digits: create it "
         "with toucanmux-ctl");
  }
  return text;
}

team read_team(const node& value, unique_names& ids, unique_names& hashes) {
  object_reader reader(value, "a team");
  team result;
  result.id = team_id(reader.name("id"));
  ids.add(result.id.value, reader.require("id").line);
  result.plan = plan_id(reader.name("plan"));
  result.rate = reader.positive_number("rate", 0);
  result.burst = reader.positive_number("burst", 0);
  for (const node& hash : reader.list_or_empty("key_hashes")) {
    result.key_hashes.push_back(read_key_hash(hash));
    hashes.add(result.key_hashes.back(), hash.line);
  }
  reader.finish();
  return result;
}

void check_plan(const node& value, const team& team_entry,
                const plan_list& plans) {
  std::string known;
  for (const auto& one : plans.plans) {
    if (one.id == team_entry.plan) return;
    known += " " + one.id.value;
  }
  object_reader reader(value, "a team");
  fail(reader.require("plan").line,
       "team " + quote(team_entry.id.value) + " has the unknown plan " +
           quote(team_entry.plan.value) +
           ": add it to the plans or use one of" + known);
}

access_class read_access(object_reader& reader) {
  auto word = reader.string("access");
  for (auto access :
       {access_class::read, access_class::write, access_class::transaction}) {
    if (to_string(access) == word) return access;
  }
  fail(reader.require("access").line, "unknown access class " + quote(word) +
                                          ": use read, write or transaction");
}

// Key for comparing routes. Unambiguous: access names contain no space.
std::string route_key(const service_id& service, access_class access) {
  return service.value + " " + std::string(to_string(access));
}

route read_route(const node& value, unique_names& seen) {
  object_reader reader(value, "a route");
  route result;
  result.service = service_id(reader.name("service"));
  result.access = read_access(reader);
  seen.add(route_key(result.service, result.access), reader.line());
  reader.finish();
  return result;
}

open_route read_open_route(const node& value, unique_names& seen) {
  object_reader reader(value, "an open route");
  open_route result;
  result.service = service_id(reader.name("service"));
  result.access = read_access(reader);
  result.rate = reader.positive_number("rate");
  result.burst = reader.positive_number("burst");
  seen.add(route_key(result.service, result.access), reader.line());
  reader.finish();
  return result;
}

plan read_plan(const node& value, unique_names& ids) {
  object_reader reader(value, "a plan");
  plan result;
  result.id = plan_id(reader.name("id"));
  ids.add(result.id.value, reader.require("id").line);
  result.rate = reader.positive_number("rate");
  result.burst = reader.positive_number("burst");
  result.weight = reader.positive_number("weight", 1);
  unique_names routes("route");
  for (const node& item : reader.list("routes")) {
    result.routes.push_back(read_route(item, routes));
  }
  reader.finish();
  return result;
}

std::uint32_t read_count(object_reader& reader, std::string_view field) {
  return static_cast<std::uint32_t>(reader.integer(field, 1, 1'000'000));
}

database read_database(const node& value, unique_names& ids) {
  object_reader reader(value, "a database");
  database result;
  result.id = database_id(reader.name("id"));
  ids.add(result.id.value, reader.require("id").line);
  result.domain = domain_id(reader.name("domain"));
  result.address = reader.name("address");
  result.port = static_cast<std::uint16_t>(
      reader.integer("port", 1, std::numeric_limits<std::uint16_t>::max()));
  result.slots = read_count(reader, "slots");
  result.connection_limit = read_count(reader, "connection_limit");
  result.leaving = reader.boolean("leaving", false);
  reader.finish();
  return result;
}

// Formats one item per line, so that the line of an error identifies the item.
std::string format_items(std::string_view field, const json& items) {
  std::string out = "\"" + std::string(field) + "\":[";
  for (std::size_t i = 0; i < items.size(); ++i) {
    out += (i == 0 ? "\n" : ",\n") + items[i].dump();
  }
  return out + "\n]";
}

json to_json(const route& value) {
  return {{"service", value.service.value},
          {"access", to_string(value.access)}};
}

json to_json(const team& value) {
  json out{{"id", value.id.value},
           {"plan", value.plan.value},
           {"key_hashes", value.key_hashes}};
  if (value.rate > 0) out["rate"] = value.rate;
  if (value.burst > 0) out["burst"] = value.burst;
  return out;
}

json to_json(const plan& value) {
  json out{{"id", value.id.value},
           {"rate", value.rate},
           {"burst", value.burst},
           {"weight", value.weight},
           {"routes", json::array()}};
  for (const auto& item : value.routes) out["routes"].push_back(to_json(item));
  return out;
}

json to_json(const open_route& value) {
  json out = to_json(route{value.service, value.access});
  out["rate"] = value.rate;
  out["burst"] = value.burst;
  return out;
}

json to_json(const database& value) {
  return {
      {"id", value.id.value},     {"domain", value.domain.value},
      {"address", value.address}, {"port", value.port},
      {"slots", value.slots},     {"connection_limit", value.connection_limit},
      {"leaving", value.leaving}};
}

template <class Items>
std::string format_list(std::string_view field, const Items& items) {
  json list = json::array();
  for (const auto& one : items) list.push_back(to_json(one));
  return format_items(field, list);
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
  unique_names open_routes("open route");
  for (const node& value : reader.list("plans")) {
    list.plans.push_back(read_plan(value, ids));
  }
  for (const node& value : reader.list_or_empty("open_routes")) {
    list.open_routes.push_back(read_open_route(value, open_routes));
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
      reader.integer("term", 1, std::numeric_limits<std::uint64_t>::max());
  group.primary = database_id(reader.name("primary"));
  group.nonce = reader.string("nonce");
  unique_names ids("database");
  for (const node& value : reader.list("databases")) {
    group.databases.push_back(read_database(value, ids));
  }
  bool primary_listed =
      std::any_of(group.databases.begin(), group.databases.end(),
                  [&](const auto& one) { return one.id == group.primary; });
  if (!primary_listed) {
    fail(reader.require("primary").line,
         "the primary " + quote(group.primary.value) +
             " is not a database of the group: name one of its databases");
  }
  reader.finish();
  return group;
}

void check_plans_in_use(const plan_list& plans, const team_list& teams) {
  std::unordered_set<std::string_view> known;
  for (const auto& one : plans.plans) known.insert(one.id.value);
  for (const auto& one : teams.teams) {
    if (known.contains(one.plan.value)) continue;
    throw list_error("plan " + quote(one.plan.value) + " is used by team " +
                     quote(one.id.value) +
                     ": give the team another plan before removing this one");
  }
}

std::string to_json_text(const team_list& list) {
  return "{" + format_list("teams", list.teams) + "}\n";
}

std::string to_json_text(const plan_list& list) {
  return "{" + format_list("plans", list.plans) + ",\n" +
         format_list("open_routes", list.open_routes) + "}\n";
}

std::string to_json_text(const database_group& group) {
  json header{{"id", group.id.value},
              {"service", group.service.value},
              {"term", group.term},
              {"primary", group.primary.value},
              {"nonce", group.nonce}};
  std::string text = header.dump();
  text.pop_back();
  return text + ",\n" + format_list("databases", group.databases) + "}\n";
}

}  // namespace toucanmux
