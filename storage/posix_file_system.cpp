#include "storage/file_system.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <utility>

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace curranttrail::storage {

namespace {

    constexpr std::string_view kLockName = "lock";

    // Owns a file descriptor.
    class Descriptor {
    public:
        Descriptor() = default;
        explicit Descriptor(int value)
            : m_value(value)
        {
        }
        Descriptor(Descriptor&& other) noexcept
            : m_value(std::exchange(other.m_value, -1))
        {
        }
        Descriptor& operator=(Descriptor&& other) noexcept
        {
            std::swap(m_value, other.m_value);
            return *this;
        }
        ~Descriptor()
        {
            if (m_value >= 0)
                ::close(m_value);
        }

        int get() const { return m_value; }
        bool valid() const { return m_value >= 0; }

    private:
        int m_value = -1;
    };

    ErrorNumber lastError(int result) { return result < 0 ? errno : 0; }

    ErrorNumber syncPath(const std::string& path)
    {
        const Descriptor folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
        if (!folder.valid())
            return errno;
        return lastError(::fsync(folder.get()));
    }

    class PosixFile : public File {
    public:
        explicit PosixFile(Descriptor descriptor)
            : m_descriptor(std::move(descriptor))
        {
        }

        ErrorNumber append(std::string_view bytes) override
        {
            while (!bytes.empty()) {
                const ssize_t written = ::write(m_descriptor.get(), bytes.data(), bytes.size());
                if (written < 0 && errno == EINTR)
                    continue;
                if (written < 0)
                    return errno;
                bytes.remove_prefix(static_cast<std::size_t>(written));
            }
            return 0;
        }

        ErrorNumber truncate(std::uint64_t size) override { return lastError(::ftruncate(m_descriptor.get(), static_cast<off_t>(size))); }
        ErrorNumber sync() override { return lastError(::fdatasync(m_descriptor.get())); }

    private:
        Descriptor m_descriptor;
    };

    class PosixFileSystem : public FileSystem {
    public:
        explicit PosixFileSystem(std::string folder)
            : m_folder(std::move(folder))
        {
        }

        ErrorNumber openFolder() override
        {
            if (m_lock.valid())
                return 0;
            std::error_code ec;
            std::filesystem::create_directories(m_folder, ec);
            if (ec)
                return ec.value();
            const std::string lockPath = pathOf(std::string { kLockName });
            Descriptor lock(::open(lockPath.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
            if (!lock.valid())
                return errno;
            if (::flock(lock.get(), LOCK_EX | LOCK_NB) < 0)
                return errno;
            m_lock = std::move(lock);
            if (const ErrorNumber error = syncPath(m_folder))
                return error;
            const std::filesystem::path parent = std::filesystem::absolute(m_folder, ec).lexically_normal().parent_path();
            return syncPath(parent.string());
        }

        ErrorNumber list(std::vector<std::string>& names) override
        {
            names.clear();
            std::error_code ec;
            for (std::filesystem::directory_iterator it(m_folder, ec), end; !ec && it != end; it.increment(ec)) {
                if (it->is_regular_file(ec))
                    names.push_back(it->path().filename().string());
            }
            std::sort(names.begin(), names.end());
            return ec.value();
        }

        ErrorNumber read(const std::string& name, std::string& bytes) override
        {
            bytes.clear();
            const Descriptor descriptor(::open(pathOf(name).c_str(), O_RDONLY | O_CLOEXEC));
            if (!descriptor.valid())
                return errno;
            struct stat status { };
            if (::fstat(descriptor.get(), &status) < 0)
                return errno;
            bytes.resize(static_cast<std::size_t>(status.st_size));
            std::size_t size = 0;
            while (size < bytes.size()) {
                const ssize_t count = ::read(descriptor.get(), bytes.data() + size, bytes.size() - size);
                if (count < 0 && errno == EINTR)
                    continue;
                if (count < 0)
                    return errno;
                if (count == 0)
                    break;
                size += static_cast<std::size_t>(count);
            }
            bytes.resize(size);
            return 0;
        }

        ErrorNumber open(const std::string& name, std::unique_ptr<File>& file) override
        {
            Descriptor descriptor(::open(pathOf(name).c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600));
            if (!descriptor.valid())
                return errno;
            file = std::make_unique<PosixFile>(std::move(descriptor));
            return 0;
        }

        ErrorNumber rename(const std::string& from, const std::string& to) override { return lastError(::rename(pathOf(from).c_str(), pathOf(to).c_str())); }
        ErrorNumber remove(const std::string& name) override { return lastError(::unlink(pathOf(name).c_str())); }
        ErrorNumber syncFolder() override { return syncPath(m_folder); }

        ErrorNumber quarantineFiles(std::string& name) override
        {
            std::vector<std::string> names;
            if (const ErrorNumber error = list(names))
                return error;
            int created = -1;
            for (int n = 1; created < 0; ++n) {
                name = fmt::format("damaged-{}", n);
                created = ::mkdir(pathOf(name).c_str(), 0700);
                if (created < 0 && errno != EEXIST)
                    return errno;
            }
            for (const std::string& file : names) {
                if (file == kLockName)
                    continue;
                if (const ErrorNumber error = rename(file, fmt::format("{}/{}", name, file)))
                    return error;
            }
            if (const ErrorNumber error = syncPath(pathOf(name)))
                return error;
            return syncFolder();
        }

    private:
        std::string pathOf(const std::string& name) const { return m_folder + "/" + name; }

        std::string m_folder;
        Descriptor m_lock;
    };

} // namespace

std::unique_ptr<FileSystem> makePosixFileSystem(std::string folder) { return std::make_unique<PosixFileSystem>(std::move(folder)); }

} // namespace curranttrail::storage
