#include "cli/command_line.h"

#include <iostream>

int
main(int aArgc, char** aArgv)
{
  return static_cast<int>(ibisrock::cli::RunCommandLine({ aArgv + 1, aArgv + aArgc }, std::cout, std::cerr));
}
