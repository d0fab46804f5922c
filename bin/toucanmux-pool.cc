#include "process/pool-process.h"
#include "process/server-main.h"

int main(int argc, char** argv) {
  return toucanmux::run_server<toucanmux::pool_process>(
      "toucanmux-pool", toucanmux::read_pool_settings, argc, argv);
}
