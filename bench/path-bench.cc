// What the path through entry and pool costs, beside its limits in one run:
// a bare echo, and the same statement by libpq straight at the database.

#include <arpa/inet.h>
#include <libpq-fe.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "process/command-line.h"

namespace {

using clock_type = std::chrono::steady_clock;
using toucanmux::exit_code;

constexpr int warm_up_rounds = 500;
constexpr const char* sql = "select 1 + $1";

// A blocking TCP socket that closes itself.
class tcp_socket {
 public:
  explicit tcp_socket(int descriptor) : descriptor_(descriptor) {
    int on = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  tcp_socket(tcp_socket&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)) {}
  tcp_socket(const tcp_socket&) = delete;
  tcp_socket& operator=(const tcp_socket&) = delete;
  tcp_socket& operator=(tcp_socket&&) = delete;
  ~tcp_socket() {
    if (descriptor_ >= 0) close(descriptor_);
  }

  static tcp_socket connect_to(int port) {
    tcp_socket out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(out.descriptor_, reinterpret_cast<sockaddr*>(&to), sizeof to) !=
        0) {
      throw std::runtime_error("nothing listens at port " +
                               std::to_string(port));
    }
    return out;
  }

  void write_all(const std::string& bytes) const {
    if (send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL) !=
        static_cast<ssize_t>(bytes.size())) {
      throw std::runtime_error("connection lost");
    }
  }
  std::size_t read_some(char* out, std::size_t size) const {
    auto got = recv(descriptor_, out, size, 0);
    if (got <= 0) throw std::runtime_error("connection lost");
    return static_cast<std::size_t>(got);
  }
  int descriptor() const { return descriptor_; }

 private:
  int descriptor_;
};

double median_us(int rounds, const std::function<void()>& work) {
  for (int i = 0; i < warm_up_rounds; ++i) work();
  std::vector<double> times;
  for (int i = 0; i < rounds; ++i) {
    auto start = clock_type::now();
    work();
    std::chrono::duration<double, std::micro> took = clock_type::now() - start;
    times.push_back(took.count());
  }
  auto middle = times.begin() + rounds / 2;
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

double echo_median(int rounds) {
  int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  bool listens =
      bind(listener, reinterpret_cast<sockaddr*>(&at), size) == 0 &&
      listen(listener, 1) == 0 &&
      getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size) == 0;
  if (!listens) throw std::runtime_error("no port for the echo");
  std::thread server([listener] {
    tcp_socket peer(accept(listener, nullptr, nullptr));
    char bytes[256];
    while (true) {
      auto got = recv(peer.descriptor(), bytes, sizeof bytes, 0);
      if (got <= 0) return;
      send(peer.descriptor(), bytes, static_cast<std::size_t>(got),
           MSG_NOSIGNAL);
    }
  });
  double out = 0;
  {
    auto client = tcp_socket::connect_to(ntohs(at.sin_port));
    const std::string message(100, 'x');
    char bytes[256];
    out = median_us(rounds, [&] {
      client.write_all(message);
      for (std::size_t got = 0; got < message.size();) {
        got += client.read_some(bytes, sizeof bytes);
      }
    });
  }
  server.join();
  close(listener);
  return out;
}

double libpq_median(int port, int rounds) {
  auto target = "host=127.0.0.1 user=toucanmux dbname=toucanmux port=" +
                std::to_string(port);
  std::unique_ptr<PGconn, decltype(&PQfinish)> connection(
      PQconnectdb(target.c_str()), &PQfinish);
  if (PQstatus(connection.get()) != CONNECTION_OK) {
    throw std::runtime_error(PQerrorMessage(connection.get()));
  }
  const char* values[] = {"1"};
  return median_us(rounds, [&] {
    auto* result = PQexecParams(connection.get(), sql, 1, nullptr, values,
                                nullptr, nullptr, 0);
    if (PQresultStatus(result) != PGRES_TUPLES_OK) {
      throw std::runtime_error(PQresultErrorMessage(result));
    }
    PQclear(result);
  });
}

// A caller's connection; sends the statement and reads the whole answer.
class caller {
 public:
  explicit caller(int port) : socket_(tcp_socket::connect_to(port)) {
    std::string body =
        std::string(R"({"sql":")") + sql + R"(","params":["1"],"shard":"0"})";
    request_ =
        "POST /v1/socios-db/read HTTP/1.1\r\nHost: bench\r\n"
        "Authorization: Bearer demo-key-1\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
  }

  void ask() {
    socket_.write_all(request_);
    std::string answer;
    char bytes[4096];
    while (!whole(answer)) {
      answer.append(bytes, socket_.read_some(bytes, sizeof bytes));
    }
    if (answer.find(" 200 ") == std::string::npos) {
      throw std::runtime_error(answer);
    }
  }

 private:
  static bool whole(const std::string& answer) {
    auto end = answer.find("\r\n\r\n");
    auto at = answer.find("Content-Length: ");
    if (end == std::string::npos || at == std::string::npos) return false;
    auto length = std::strtoul(answer.c_str() + at + 16, nullptr, 10);
    return answer.size() >= end + 4 + length;
  }

  tcp_socket socket_;
  std::string request_;
};

// Processor time of a process so far, seconds.
double processor_seconds(int process) {
  std::ifstream in("/proc/" + std::to_string(process) + "/stat");
  std::string text;
  std::getline(in, text);
  std::string rest = text.substr(text.rfind(')') + 2);
  long user = 0;
  long kernel = 0;
  if (std::sscanf(rest.c_str(),
                  "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %ld %ld", &user,
                  &kernel) != 2) {
    throw std::runtime_error("no such process");
  }
  return static_cast<double>(user + kernel) /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

long resident_kib(int process) {
  std::ifstream in("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::strtol(line.c_str() + 6, nullptr, 10);
    }
  }
  throw std::runtime_error("no such process");
}

struct bench_arguments {
  std::string entry_port;
  std::string database_port;
  std::string entry_process;
  std::string pool_process;
  std::string rounds = "5000";
  std::string callers = "16";
  std::string idle = "10000";
};

void measure_latency(const bench_arguments& given) {
  int rounds = std::stoi(given.rounds);
  double echo = echo_median(rounds);
  double direct = libpq_median(std::stoi(given.database_port), rounds);
  caller one(std::stoi(given.entry_port));
  double path = median_us(rounds, [&] { one.ask(); });
  std::printf("bare echo              %8.1f us at the median\n", echo);
  std::printf("libpq straight         %8.1f us, %.2f echoes\n", direct,
              direct / echo);
  std::printf("through entry and pool %8.1f us, %.2f echoes\n", path,
              path / echo);
  std::printf("added                  %8.1f us, %.2f echoes (goal 90 us)\n",
              path - direct, (path - direct) / echo);
}

void measure_throughput(const bench_arguments& given) {
  int count = std::stoi(given.callers);
  int each = std::stoi(given.rounds);
  int entry = std::stoi(given.entry_process);
  int pool = std::stoi(given.pool_process);
  double before = processor_seconds(entry) + processor_seconds(pool);
  auto start = clock_type::now();
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    threads.emplace_back([&] {
      caller one(std::stoi(given.entry_port));
      for (int round = 0; round < each; ++round) one.ask();
    });
  }
  for (auto& one : threads) one.join();
  std::chrono::duration<double> took = clock_type::now() - start;
  double used = processor_seconds(entry) + processor_seconds(pool) - before;
  double statements = static_cast<double>(count) * each;
  std::printf(
      "%d callers: %.0f statements a second, %.0f a core-second of "
      "entry and pool (goal 25000)\n",
      count, statements / took.count(), statements / used);
}

void measure_idle(const bench_arguments& given) {
  int entry = std::stoi(given.entry_process);
  int count = std::stoi(given.idle);
  long before = resident_kib(entry);
  std::vector<std::unique_ptr<caller>> callers;
  callers.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    callers.push_back(std::make_unique<caller>(std::stoi(given.entry_port)));
    callers.back()->ask();
  }
  double each = static_cast<double>(resident_kib(entry) - before) / count;
  std::printf("%d idle callers: %.1f KiB each in the entry (goal 16)\n", count,
              each);
}

exit_code work(int argc, char** argv) {
  bench_arguments given;
  toucanmux::command_line line{
      "path-bench",
      "",
      {{"entry-port", "PORT", "Callers' port", &given.entry_port, nullptr},
       {"database-port", "PORT", "Database's port", &given.database_port,
        nullptr},
       {"entry-process", "PID", "The entry", &given.entry_process, nullptr},
       {"pool-process", "PID", "The pool", &given.pool_process, nullptr},
       {"rounds", "N", "Statements of each caller", &given.rounds, nullptr},
       {"callers", "N", "Callers at once", &given.callers, nullptr},
       {"idle", "N", "Idle callers", &given.idle, nullptr}}};
  auto words = read_command_line(line, argc, argv);
  if (words.should_exit) return words.code;
  measure_latency(given);
  measure_throughput(given);
  measure_idle(given);
  return exit_code::ok;
}

}  // namespace

int main(int argc, char** argv) {
  return toucanmux::run_program("path-bench", [&] { return work(argc, argv); });
}
