#pragma once

#include <filesystem>

namespace curranttrail::stand_ins {

// A temporary folder that is removed with its content on destruction.
class TemporaryFolder {
public:
    // Throws std::runtime_error if the folder cannot be created.
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::filesystem::path& path() const { return m_path; }

private:
    std::filesystem::path m_path;
};

} // namespace curranttrail::stand_ins
