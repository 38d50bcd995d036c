#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace curranttrail::storage {

// Result of a file operation: 0 or an errno value.
using ErrorNumber = int;

// An open file. Written bytes are durable only after sync().
class File {
public:
    virtual ~File() = default;
    // Appends at the end. After a failure the file may contain part of the bytes.
    virtual ErrorNumber append(std::string_view bytes) = 0;
    virtual ErrorNumber truncate(std::uint64_t size) = 0;
    virtual ErrorNumber sync() = 0;
};

// Abstraction of the file operations that the storage needs. File names are relative to one folder.
class FileSystem {
public:
    virtual ~FileSystem() = default;
    // Creates the folder if it does not exist and locks it until this object is destroyed.
    // Returns EWOULDBLOCK if another process holds the lock.
    virtual ErrorNumber openFolder() = 0;
    // Lists the regular files.
    virtual ErrorNumber list(std::vector<std::string>& names) = 0;
    virtual ErrorNumber read(const std::string& name, std::string& bytes) = 0;
    // Opens a file for appending and creates it if it does not exist.
    virtual ErrorNumber open(const std::string& name, std::unique_ptr<File>& file) = 0;
    virtual ErrorNumber rename(const std::string& from, const std::string& to) = 0;
    virtual ErrorNumber remove(const std::string& name) = 0;
    // Makes file creations, renames and removals durable.
    virtual ErrorNumber syncFolder() = 0;
    // Moves all regular files except the lock file into a new subfolder and sets `name` to its name.
    virtual ErrorNumber quarantineFiles(std::string& name) = 0;
};

// Creates a FileSystem on a folder of the operating system.
std::unique_ptr<FileSystem> makePosixFileSystem(std::string folder);

} // namespace curranttrail::storage
