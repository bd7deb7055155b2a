#ifndef BULRUSHSPRING_TESTS_SUPPORT_PROCESS_HPP
#define BULRUSHSPRING_TESTS_SUPPORT_PROCESS_HPP

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace bulrushspring::test
{

// A child process that runs a program of this project. The destructor kills it
// if it is still running. Its output is appended to the log file.
class process
{
public:
    process(std::vector<std::string> arguments, const std::string& log)
    {
        arguments.front() =
            std::string(BULRUSHSPRING_BINARY_FOLDER) + "/" + arguments.front();
        id_ = fork();
        if (id_ == 0) {
            run(arguments, log);
        }
    }
    process(process&& other) noexcept : id_(std::exchange(other.id_, -1)) {}
    process& operator=(process&& other) noexcept
    {
        std::swap(id_, other.id_);
        return *this;
    }
    ~process()
    {
        if (id_ > 0) {
            send(SIGCONT);
            send(SIGKILL);
            wait();
        }
    }

    pid_t id() const { return id_; }
    void send(int signal) const { kill(id_, signal); }

    // Waits until the process ends and returns its exit status, or 128 plus the
    // number of the signal that ended it.
    int wait()
    {
        int status = 0;
        waitpid(id_, &status, 0);
        id_ = -1;
        constexpr int signal_status_base = 128;
        return WIFEXITED(status) ? WEXITSTATUS(status)
                                 : signal_status_base + WTERMSIG(status);
    }

    // Sends the signal and waits until the process ends; returns as wait().
    int stop(int signal)
    {
        send(signal);
        return wait();
    }

private:
    [[noreturn]] static void run(std::vector<std::string>& arguments,
                                 const std::string& log)
    {
        const int file =
            open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        std::vector<char*> argv;
        for (auto& argument : arguments) {
            argv.push_back(argument.data());
        }
        argv.push_back(nullptr);
        execv(argv.front(), argv.data());
        _exit(127);
    }

    pid_t id_ = -1;
};

// A value of /proc/PID/status in kB; 0 if the process has ended.
inline std::uint64_t status_kb(pid_t process, const std::string& name)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string word; file >> word;) {
        std::uint64_t value = 0;
        if (word == name + ":" && file >> value) {
            return value;
        }
    }
    return 0;
}

// Polls until a condition holds. It has no timeout of its own: the time limit
// of the test runner ends a test whose condition never holds.
template <typename Condition>
void wait_until(Condition condition)
{
    while (!condition()) {
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
}

inline std::string read_text(const std::filesystem::path& path)
{
    std::ifstream file(path, std::ios::binary);
    return std::string(std::istreambuf_iterator<char>(file), {});
}

inline void write_text(const std::filesystem::path& path,
                       const std::string& text)
{
    std::ofstream(path, std::ios::binary) << text;
}

// A temporary folder that the destructor removes.
class temporary_folder
{
public:
    temporary_folder()
    {
        auto name = (std::filesystem::temp_directory_path() /
                     "bulrushspring-test-XXXXXX")
                        .string();
        path_ = mkdtemp(name.data());
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder() { std::filesystem::remove_all(path_); }

    std::string operator/(const std::string& name) const
    {
        return (path_ / name).string();
    }

private:
    std::filesystem::path path_;
};

} // namespace bulrushspring::test

#endif
