package maplerail.cli;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import maplerail.config.ConfigException;
import maplerail.config.NodeConfig;
import maplerail.config.ToolsConfig;
import maplerail.sim.Adapter;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The command line interface. */
public final class Main {
    private static final int BUFFER_BYTES = 1 << 16;
    private static final String USAGE = """
            usage: maplerail COMMAND [--config FILE] [--tools FILE]
              serve          run a gateway; FILE is its configuration, $RELAY_CONFIG by default;
                             --tools enables the JSON-RPC front, configured in that file
              check-config   validate a configuration and report what is wrong with it
              adapter        make decisions for the simulator, on standard input and output
              rehearse       start a gateway, send it a few requests and stop; the build uses
                             this to record the classes that it loads
              version        print the version
              help           print this help
            """;

    private Main() {}

    /** Runs a command and exits with its status: 0 for success, 1 for failure, 2 for bad usage or configuration. */
    public static void main(String[] args) throws Exception {
        System.setProperty("org.jboss.logging.provider", "slf4j"); // XNIO and Undertow log through the same library
        int status = run(args, System.getenv(), System.out, System.err);
        System.out.flush();
        System.err.flush();
        if (status >= 0) System.exit(status);
    }

    /** Runs a command and returns its exit status, or -1 if the program continues and exits by itself. */
    static int run(String[] args, Map<String, String> environment, PrintStream out, PrintStream errors)
            throws Exception {
        String command = args.length == 0 ? "" : args[0];
        Options options = new Options();
        if (command.equals("serve") || command.equals("check-config")) {
            options.addOption("c", "config", true, "the configuration file");
            options.addOption("t", "tools", true, "the operator's file for tool calls");
        }
        CommandLine commandLine;
        try {
            String[] arguments = args.length == 0 ? args : Arrays.copyOfRange(args, 1, args.length);
            commandLine = new DefaultParser().parse(options, arguments);
            if (!commandLine.getArgList().isEmpty())
                throw new ParseException("unexpected argument '" + commandLine.getArgList().get(0) + "'");
        } catch (ParseException e) {
            errors.print("maplerail: " + e.getMessage() + "\n" + USAGE);
            return 2;
        }
        switch (command) {
            case "serve", "check-config" -> {
                return runConfigured(command, commandLine.getOptionValue("config", environment.get("RELAY_CONFIG")),
                        commandLine.getOptionValue("tools"), environment, out, errors);
            }
            case "adapter" -> {
                return Adapter.run(new BufferedInputStream(new FileInputStream(FileDescriptor.in), BUFFER_BYTES),
                        new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), BUFFER_BYTES), errors);
            }
            case "rehearse" -> {
                Rehearsal.run();
                return 0;
            }
            case "version" -> {
                String version = Main.class.getPackage().getImplementationVersion();
                out.println("maplerail " + (version == null ? "unpackaged" : version));
                return 0;
            }
            case "help", "--help", "-h" -> {
                out.print(USAGE);
                return 0;
            }
            default -> {
                errors.print(USAGE);
                return 2;
            }
        }
    }

    private static int runConfigured(String command, String file, String toolsFile,
            Map<String, String> environment, PrintStream out, PrintStream errors) throws Exception {
        NodeConfig config;
        ToolsConfig tools;
        try {
            if (file == null) throw new ConfigException("RELAY_CONFIG: missing, and --config is not given");
            config = NodeConfig.read(readFile(file), environment);
            tools = toolsFile == null ? null : ToolsConfig.read(readFile(toolsFile));
        } catch (ConfigException e) {
            errors.println("maplerail: " + e.getMessage());
            return 2;
        }
        if (command.equals("check-config")) {
            out.println("maplerail: the configuration of " + config.name() + " is valid");
            return 0;
        }
        ThreadDeathHandler.install();
        Gateway gateway = new Gateway(config, tools);
        reloadOnSighup(gateway, file, toolsFile, environment);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            gateway.drain();
            try {
                gateway.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "drain"));
        gateway.start();
        return -1;
    }

    /** Reloads both files at each SIGHUP, independently: an error in one does not delay the other. */
    private static void reloadOnSighup(Gateway gateway, String file, String toolsFile,
            Map<String, String> environment) {
        // The environment dates from the start of the process, so a new file takes precedence over it.
        Map<String, String> reloadEnvironment = new HashMap<>(environment);
        reloadEnvironment.remove("RELAY_DISCOVERY");
        List<ConfigurationReloader<?>> reloaders = new ArrayList<>();
        reloaders.add(
                new ConfigurationReloader<>(() -> NodeConfig.read(readFile(file), reloadEnvironment), gateway::reload));
        if (toolsFile != null) {
            reloaders.add(
                    new ConfigurationReloader<>(() -> ToolsConfig.read(readFile(toolsFile)), gateway::reloadTools));
        }
        SighupHandler.install(() -> reloaders.forEach(ConfigurationReloader::start));
    }

    private static String readFile(String file) {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException | java.nio.file.InvalidPathException e) {
            throw new ConfigException(file + ": cannot be read");
        }
    }
}
