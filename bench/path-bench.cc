// Measures the request path through entry and pool. In the same run, a bare TCP
// echo and the same statement sent by libpq directly to the database serve as
// reference.

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
      throw std::runtime_error("cannot connect to port " +
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
    auto received = recv(descriptor_, out, size, 0);
    if (received <= 0) throw std::runtime_error("connection lost");
    return static_cast<std::size_t>(received);
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
    std::chrono::duration<double, std::micro> elapsed =
        clock_type::now() - start;
    times.push_back(elapsed.count());
  }
  auto middle = times.begin() + rounds / 2;
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

double echo_median(int rounds) {
  int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  bool listens =
      bind(listener, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      listen(listener, 1) == 0 &&
      getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  if (!listens) throw std::runtime_error("cannot start the echo server");
  std::thread server([listener] {
    tcp_socket peer(accept(listener, nullptr, nullptr));
    char bytes[256];
    while (true) {
      auto received = recv(peer.descriptor(), bytes, sizeof bytes, 0);
      if (received <= 0) return;
      send(peer.descriptor(), bytes, static_cast<std::size_t>(received),
           MSG_NOSIGNAL);
    }
  });
  double out = 0;
  {
    auto client = tcp_socket::connect_to(ntohs(address.sin_port));
    const std::string message(100, 'x');
    char bytes[256];
    out = median_us(rounds, [&] {
      client.write_all(message);
      for (std::size_t received = 0; received < message.size();) {
        received += client.read_some(bytes, sizeof bytes);
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

// A caller's HTTP connection; sends the statement and reads the complete
// answer.
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

  void run_statement() {
    socket_.write_all(request_);
    std::string answer;
    char bytes[4096];
    while (!is_complete(answer)) {
      answer.append(bytes, socket_.read_some(bytes, sizeof bytes));
    }
    if (answer.find(" 200 ") == std::string::npos) {
      throw std::runtime_error(answer);
    }
  }

 private:
  static bool is_complete(const std::string& answer) {
    auto end = answer.find("\r\n\r\n");
    auto header = answer.find("Content-Length: ");
    if (end == std::string::npos || header == std::string::npos) return false;
    auto length = std::strtoul(answer.c_str() + header + 16, nullptr, 10);
    return answer.size() >= end + 4 + length;
  }

  tcp_socket socket_;
  std::string request_;
};

// Returns the processor time that a process has used so far, in seconds.
double processor_seconds(int process) {
  std::ifstream in("/proc/" + std::to_string(process) + "/stat");
  std::string text;
  std::getline(in, text);
  std::string fields = text.substr(text.rfind(')') + 2);
  long user = 0;
  long kernel = 0;
  if (std::sscanf(fields.c_str(),
                  "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %ld %ld", &user,
                  &kernel) != 2) {
    throw std::runtime_error("cannot read the process from /proc");
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
  throw std::runtime_error("cannot read the process from /proc");
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

void measure_latency(const bench_arguments& arguments) {
  int rounds = std::stoi(arguments.rounds);
  double echo = echo_median(rounds);
  double direct = libpq_median(std::stoi(arguments.database_port), rounds);
  caller client(std::stoi(arguments.entry_port));
  double path = median_us(rounds, [&] { client.run_statement(); });
  std::printf("bare echo              %8.1f us at the median\n", echo);
  std::printf("libpq direct           %8.1f us, %.2f echoes\n", direct,
              direct / echo);
  std::printf("through entry and pool %8.1f us, %.2f echoes\n", path,
              path / echo);
  std::printf("added                  %8.1f us, %.2f echoes (goal 90 us)\n",
              path - direct, (path - direct) / echo);
}

void measure_throughput(const bench_arguments& arguments) {
  int count = std::stoi(arguments.callers);
  int rounds = std::stoi(arguments.rounds);
  int entry = std::stoi(arguments.entry_process);
  int pool = std::stoi(arguments.pool_process);
  double before = processor_seconds(entry) + processor_seconds(pool);
  auto start = clock_type::now();
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    threads.emplace_back([&] {
      caller client(std::stoi(arguments.entry_port));
      for (int round = 0; round < rounds; ++round) client.run_statement();
    });
  }
  for (auto& thread : threads) thread.join();
  std::chrono::duration<double> elapsed = clock_type::now() - start;
  double processor_time =
      processor_seconds(entry) + processor_seconds(pool) - before;
  double statements = static_cast<double>(count) * rounds;
  std::printf(
      "%d callers: %.0f statements per second, %.0f per core-second of "
      "entry and pool (goal 25000)\n",
      count, statements / elapsed.count(), statements / processor_time);
}

void measure_idle(const bench_arguments& arguments) {
  int entry = std::stoi(arguments.entry_process);
  int count = std::stoi(arguments.idle);
  long before = resident_kib(entry);
  std::vector<std::unique_ptr<caller>> callers;
  callers.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    callers.push_back(
        std::make_unique<caller>(std::stoi(arguments.entry_port)));
    callers.back()->run_statement();
  }
  double kib_per_caller =
      static_cast<double>(resident_kib(entry) - before) / count;
  std::printf("%d idle callers: %.1f KiB each in the entry (goal 16)\n", count,
              kib_per_caller);
}

exit_code run_bench(int argc, char** argv) {
  bench_arguments arguments;
  toucanmux::command_line line{
      "path-bench",
      "",
      {{"entry-port", "PORT", "Callers' port", &arguments.entry_port, nullptr},
       {"database-port", "PORT", "Database's port", &arguments.database_port,
        nullptr},
       {"entry-process", "PID", "The entry", &arguments.entry_process, nullptr},
       {"pool-process", "PID", "The pool", &arguments.pool_process, nullptr},
       {"rounds", "N", "Statements of each caller", &arguments.rounds, nullptr},
       {"callers", "N", "Concurrent callers", &arguments.callers, nullptr},
       {"idle", "N", "Idle callers", &arguments.idle, nullptr}}};
  auto parsed = read_command_line(line, argc, argv);
  if (parsed.should_exit) return parsed.code;
  measure_latency(arguments);
  measure_throughput(arguments);
  measure_idle(arguments);
  return exit_code::ok;
}

}  // namespace

int main(int argc, char** argv) {
  return toucanmux::run_program("path-bench",
                                [&] { return run_bench(argc, argv); });
}
