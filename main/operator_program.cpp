#include "main/operator_program.h"

#include "main/cli_verify.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdlib>
#include <map>
#include <ostream>

namespace curranttrail {

namespace {

    constexpr std::string_view kUsage = R"(usage: curranttrail COMMAND [options]

  class list                 classes of an owner with their targets
  class show NAME            one class
  class set NAME [options]   create a class or change its target
  status                     every control instance: role, lease, versions
  where [NAME]               in which data centres a class or the newest version is in force
  timeline [options]         events of all processes in causal order
  crashes list               requests under which servers ended, at the coordinators
  crashes release ID         let such a request run again
  check FILE [options]       check a configuration document before it is sent
  evacuation list            the evacuated data centres, at the coordinators
  evacuation order NAME      send the servers of a data centre nothing more
  evacuation withdraw NAME   use them again
  verify [options]           recompute the bill and compare it with the other owner's ledger
  keygen PATH                create a key pair for the usage ledger

`curranttrail COMMAND --help` shows the options of a command. The settings file is given with --settings, by the variable
CURRANTTRAIL_SETTINGS, or is ./curranttrail.toml.

Exit codes: 0 success; 1 refused, the request did not run; 2 invalid arguments or settings; 3 a change may have been
accepted, send it again with its change id; 4 no instance can be reached.
)";

    // The command-line arguments of one command. Each command adds its own options before it parses.
    class Arguments {
    public:
        explicit Arguments(const std::string& command, const std::string& description)
            : m_line(description, ' ', CURRANTTRAIL_VERSION)
            , m_settings("", "settings", "Settings file.", false, defaultSettings(), "FILE", m_line)
        {
            m_line.setExceptionHandling(false);
            m_words.push_back("curranttrail " + command);
        }

        TCLAP::CmdLine& line() { return m_line; }

        void parse(const std::vector<std::string>& words)
        {
            m_words.insert(m_words.end(), words.begin(), words.end());
            m_line.parse(m_words);
        }

        // Reads the settings file. If it has errors, prints them and throws an argument error.
        CliSettings settings(CliOutput output) const
        {
            const SettingsFile file = SettingsFile::load(m_settings.getValue());
            CliSettings settings = readCliSettings(file);
            const std::vector<SettingsError> errors = file.errors();
            for (const SettingsError& error : errors)
                output.err << error.text() << '\n';
            if (!errors.empty())
                throw TCLAP::CmdLineParseException("the settings file is invalid", m_settings.getValue());
            return settings;
        }

    private:
        static std::string defaultSettings()
        {
            const char* path = std::getenv("CURRANTTRAIL_SETTINGS");
            return path ? path : "curranttrail.toml";
        }

        TCLAP::CmdLine m_line;
        TCLAP::ValueArg<std::string> m_settings;
        std::vector<std::string> m_words;
    };

    using ArgumentList = std::vector<std::string>;
    using TextArgument = TCLAP::ValueArg<std::string>;
    using NumberArgument = TCLAP::ValueArg<double>;

    template <typename Value>
    std::optional<Value> valueIfSet(const TCLAP::ValueArg<Value>& argument)
    {
        return argument.isSet() ? std::optional<Value> { argument.getValue() } : std::nullopt;
    }

    CliExit runClassList(const ArgumentList& words, CliOutput output)
    {
        Arguments arguments("class list", "Lists the classes of an owner.");
        TextArgument owner("", "owner", "Owner; by default the one in the settings.", false, "", "OWNER", arguments.line());
        arguments.parse(words);
        const CliSettings settings = arguments.settings(output);
        return listClasses(settings, valueIfSet(owner).value_or(settings.owner), output);
    }

    CliExit runClassShow(const ArgumentList& words, CliOutput output)
    {
        Arguments arguments("class show", "Shows one class.");
        TextArgument owner("", "owner", "Owner; by default the one in the settings.", false, "", "OWNER", arguments.line());
        TCLAP::UnlabeledValueArg<std::string> name("name", "Class.", true, "", "NAME", arguments.line());
        arguments.parse(words);
        const CliSettings settings = arguments.settings(output);
        return showClass(settings, valueIfSet(owner).value_or(settings.owner), name.getValue(), output);
    }

    CliExit runClassSet(const ArgumentList& words, CliOutput output)
    {
        Arguments arguments("class set", "Creates a class or changes its target. Options that are absent keep their value.");
        TCLAP::CmdLine& line = arguments.line();
        TextArgument collection("", "collection", "Collection that the class queries.", false, "", "NAME", line);
        NumberArgument percentile("", "percentile", "Share of queries within the latency, such as 0.99.", false, 0, "SHARE", line);
        NumberArgument latency("", "latency-ms", "Latency in milliseconds.", false, 0, "MS", line);
        NumberArgument coverage("", "minimum-coverage", "Minimum share of the key space in an answer.", false, 0, "SHARE", line);
        TCLAP::SwitchArg repeatable("", "repeatable", "Requests may run more than once.", line);
        TCLAP::SwitchArg once("", "at-most-once", "Requests run at most once.", line);
        TCLAP::ValueArg<std::uint64_t> expected("", "expected-version", "Refuse unless the class is at this version; 0 creates it.", false, 0, "N", line);
        TextArgument changeId("", "change-id", "Id of an earlier attempt at the same change.", false, "", "ID", line);
        TCLAP::SwitchArg wait("", "wait", "Wait until the change is in force everywhere.", line);
        TCLAP::UnlabeledValueArg<std::string> name("name", "Class.", true, "", "NAME", line);
        arguments.parse(words);
        if (repeatable.isSet() && once.isSet())
            throw TCLAP::CmdLineParseException("--repeatable and --at-most-once exclude each other");
        ClassEdit edit { name.getValue(), valueIfSet(collection), valueIfSet(percentile), valueIfSet(latency), valueIfSet(coverage), std::nullopt,
            valueIfSet(expected), valueIfSet(changeId), wait.getValue() };
        if (repeatable.isSet() || once.isSet())
            edit.repeatable = repeatable.isSet();
        return setClass(arguments.settings(output), edit, output);
    }

    CliExit runStatus(const ArgumentList& words, CliOutput output)
    {
        Arguments arguments("status", "Shows every control instance.");
        arguments.parse(words);
        return showStatus(arguments.settings(output), output);
    }

    CliExit runWhere(const ArgumentList& words, CliOutput output)
    {
        Arguments arguments("where", "Shows in which data centres a class, or the owner's newest version, is in force.");
        TextArgument owner("", "owner", "Owner; by default the one in the settings.", false, "", "OWNER", arguments.line());
        TCLAP::UnlabeledValueArg<std::string> name("name", "Class.", false, "", "NAME", arguments.line());
        arguments.parse(words);
        const CliSettings settings = arguments.settings(output);
        return showWhere(settings, valueIfSet(owner).value_or(settings.owner), name.getValue(), output);
    }

    CliExit runTimeline(const ArgumentList& words, CliOutput output)
    {
        Arguments arguments("timeline", "Merges the events of all processes, or of their log files, in causal order.");
        TCLAP::CmdLine& line = arguments.line();
        TextArgument request("", "request", "Only events of this request id.", false, "", "ID", line);
        TextArgument className("", "class", "Only events of this class.", false, "", "NAME", line);
        TextArgument change("", "change", "Only events of this change id.", false, "", "ID", line);
        TextArgument instance("", "instance", "Only events of this instance.", false, "", "NAME", line);
        TextArgument html("", "html", "Write an HTML page to this file instead of text.", false, "", "FILE", line);
        TCLAP::UnlabeledMultiArg<std::string> logs("logs", "Log files; by default events are fetched from all instances in the settings.", false, "LOG", line);
        arguments.parse(words);
        const TimelineOptions options { { request.getValue(), className.getValue(), change.getValue(), instance.getValue() }, logs.getValue(), html.getValue() };
        // Log files can be read without any settings.
        const CliSettings settings = options.logs.empty() ? arguments.settings(output) : CliSettings {};
        return showTimeline(settings, options, output);
    }

    CliExit runVerify(const ArgumentList& words, CliOutput output)
    {
        Arguments arguments("verify", "Recomputes the owner's bill from its ledger and compares it with the other owner's.");
        TCLAP::CmdLine& line = arguments.line();
        TextArgument owner("", "owner", "Owner; by default the one in the settings.", false, "", "OWNER", line);
        TextArgument folder("", "folder", "Folder with a copy of the ledger's files instead of the owner's control instances.", false, "", "PATH", line);
        TextArgument other("", "other-folder", "Folder with a copy of the other owner's ledger.", false, "", "PATH", line);
        arguments.parse(words);
        const CliSettings settings = arguments.settings(output);
        return verifyUsage(settings, { valueIfSet(owner).value_or(settings.owner), folder.getValue(), other.getValue() }, output);
    }

    CliExit runKeygen(const ArgumentList& words, CliOutput output)
    {
        Arguments arguments("keygen", "Creates a key pair: PATH.key, which stays with its instance, and PATH.pub.");
        TCLAP::UnlabeledValueArg<std::string> path("path", "Path without extension.", true, "", "PATH", arguments.line());
        arguments.parse(words);
        return makeKeys(path.getValue(), output);
    }

    // The address of a coordinator's API, which needs no settings file.
    class CoordinatorArgument {
    public:
        explicit CoordinatorArgument(TCLAP::CmdLine& line)
            : m_argument("", "coordinator", "Address and port of any coordinator's API.", true, "", "HOST:PORT", line)
        {
        }

        transport::Endpoint endpoint()
        {
            if (const std::optional<transport::Endpoint> endpoint = transport::parseEndpoint(m_argument.getValue()))
                return *endpoint;
            throw TCLAP::CmdLineParseException("not an address with a port", m_argument.getValue());
        }

    private:
        TextArgument m_argument;
    };

    CliExit runCrashesList(const ArgumentList& words, CliOutput output)
    {
        Arguments arguments("crashes list", "Lists the requests under which servers ended.");
        CoordinatorArgument coordinator(arguments.line());
        arguments.parse(words);
        return listCrashes(coordinator.endpoint(), output);
    }

    CliExit runCrashesRelease(const ArgumentList& words, CliOutput output)
    {
        Arguments arguments("crashes release", "Lets a request run again that is blocked because servers ended under it.");
        CoordinatorArgument coordinator(arguments.line());
        TCLAP::UnlabeledValueArg<std::string> fingerprint("fingerprint", "Fingerprint, as in the list and the logs.", true, "", "ID", arguments.line());
        arguments.parse(words);
        return releaseRequest(coordinator.endpoint(), fingerprint.getValue(), output);
    }

    CliExit runCheck(const ArgumentList& words, CliOutput output)
    {
        Arguments arguments("check", "Checks a configuration document before it is sent: errors, entries that never match, limits that contradict each other.");
        TCLAP::CmdLine& line = arguments.line();
        TextArgument coordinator("", "coordinator", "Any coordinator's API; shows what would change.", false, "", "HOST:PORT", line);
        TextArgument inForce("", "in-force", "File with the document in force instead.", false, "", "FILE", line);
        TCLAP::UnlabeledValueArg<std::string> file("file", "Document.", true, "", "FILE", line);
        arguments.parse(words);
        ConfigurationCheck check { file.getValue(), transport::parseEndpoint(coordinator.getValue()), inForce.getValue() };
        if (coordinator.isSet() && !check.coordinator)
            throw TCLAP::CmdLineParseException("not an address with a port", coordinator.getValue());
        if (coordinator.isSet() && inForce.isSet())
            throw TCLAP::CmdLineParseException("--coordinator and --in-force exclude each other");
        return checkConfiguration(check, output);
    }

    CliExit runEvacuationList(const ArgumentList& words, CliOutput output)
    {
        Arguments arguments("evacuation list", "Lists the evacuated data centres.");
        CoordinatorArgument coordinator(arguments.line());
        arguments.parse(words);
        return listEvacuations(coordinator.endpoint(), output);
    }

    CliExit runEvacuationOrder(const ArgumentList& words, CliOutput output)
    {
        Arguments arguments("evacuation order", "Orders that the servers of a data centre get no requests.");
        CoordinatorArgument coordinator(arguments.line());
        TCLAP::UnlabeledValueArg<std::string> name("name", "Data centre.", true, "", "NAME", arguments.line());
        arguments.parse(words);
        return orderEvacuation(coordinator.endpoint(), name.getValue(), true, output);
    }

    CliExit runEvacuationWithdraw(const ArgumentList& words, CliOutput output)
    {
        Arguments arguments("evacuation withdraw", "Withdraws the evacuation of a data centre.");
        CoordinatorArgument coordinator(arguments.line());
        TCLAP::UnlabeledValueArg<std::string> name("name", "Data centre.", true, "", "NAME", arguments.line());
        arguments.parse(words);
        return orderEvacuation(coordinator.endpoint(), name.getValue(), false, output);
    }

    using CommandFunction = CliExit (*)(const ArgumentList&, CliOutput);

    CommandFunction findCommand(ArgumentList& words)
    {
        static const std::map<std::string, CommandFunction> commands { { "class list", runClassList }, { "class show", runClassShow },
            { "class set", runClassSet }, { "status", runStatus }, { "where", runWhere }, { "timeline", runTimeline },
            { "crashes list", runCrashesList },
            { "crashes release", runCrashesRelease }, { "evacuation list", runEvacuationList },
            { "evacuation order", runEvacuationOrder }, { "evacuation withdraw", runEvacuationWithdraw }, { "check", runCheck }, { "verify", runVerify }, { "keygen", runKeygen } };
        if (words.empty())
            return nullptr;
        const std::size_t count = (words.front() == "class" || words.front() == "crashes" || words.front() == "evacuation") && words.size() > 1 ? 2 : 1;
        const std::string name = count == 2 ? words[0] + " " + words[1] : words[0];
        const auto it = commands.find(name);
        if (it == commands.end())
            return nullptr;
        words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(count));
        return it->second;
    }

} // namespace

int runOperatorProgram(int argc, const char* const* argv, CliOutput output)
{
    ArgumentList words(argv + 1, argv + argc);
    if (!words.empty() && (words.front() == "--help" || words.front() == "-h")) {
        output.out << kUsage;
        return static_cast<int>(CliExit::Ok);
    }
    if (!words.empty() && words.front() == "--version") {
        output.out << "curranttrail " << CURRANTTRAIL_VERSION << '\n';
        return static_cast<int>(CliExit::Ok);
    }
    const CommandFunction command = findCommand(words);
    if (!command) {
        output.err << kUsage;
        return static_cast<int>(CliExit::Usage);
    }
    try {
        return static_cast<int>(command(words, output));
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus() == 0 ? static_cast<int>(CliExit::Ok) : static_cast<int>(CliExit::Usage);
    } catch (const TCLAP::ArgException& error) {
        output.err << fmt::format("{} {}\n", error.error(), error.argId());
        return static_cast<int>(CliExit::Usage);
    }
}

} // namespace curranttrail
