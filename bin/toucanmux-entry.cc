#include "process/entry-process.h"
#include "process/server-main.h"

int main(int argc, char** argv) {
  return toucanmux::run_server<toucanmux::entry_process>(
      "toucanmux-entry", toucanmux::read_entry_settings, argc, argv);
}
