// Compiles the logging library into this project.
#include <easylogging++.cc>
