#include "operations/operations.hpp"

int main(int argc, char** argv)
{
    return hibiscusferry::ferryctl_main(argc, argv);
}
