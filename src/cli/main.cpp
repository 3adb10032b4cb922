#include "cli/command_line.h"

#include <csignal>
#include <iostream>

int
main(int aArgc, char** aArgv)
{
  // A peer that closes a connection while a request is written must give an exit code, not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  return static_cast<int>(ibisrock::cli::RunCommandLine({ aArgv + 1, aArgv + aArgc }, std::cout, std::cerr));
}
