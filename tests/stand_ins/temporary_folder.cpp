#include "tests/stand_ins/temporary_folder.h"

#include <cstdlib>
#include <stdexcept>
#include <string>
#include <system_error>

namespace curranttrail::stand_ins {

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "curranttrail-XXXXXX").string();
    if (!::mkdtemp(pattern.data()))
        throw std::runtime_error("cannot create a temporary folder");
    m_path = pattern;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ec;
    std::filesystem::remove_all(m_path, ec);
}

} // namespace curranttrail::stand_ins
