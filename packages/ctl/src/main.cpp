// The program cranberryctl.
#include <cranberrydock/ctl/run.hpp>

int main(int argc, char** argv) {
    return static_cast<int>(cranberrydock::ctl::run(argc, argv));
}
