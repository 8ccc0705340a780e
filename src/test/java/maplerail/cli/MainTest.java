package maplerail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class MainTest {
    @TempDir
    Path folder;
    private String printed;

    private int run(Map<String, String> environment, String... args) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream print = new PrintStream(out, true, StandardCharsets.UTF_8);
        int status = Main.run(args, environment, print, print);
        printed = out.toString(StandardCharsets.UTF_8);
        return status;
    }

    @ParameterizedTest
    @CsvSource({"help,0,usage:", "version,0,maplerail", "'',2,usage:", "dance,2,usage:", "serve now,2,now",
            "serve --port 1,2,--port", "serve,2,RELAY_CONFIG", "check-config --config no/such/file,2,no/such/file"})
    void usageIsPrinted(String arguments, int status, String expected) throws Exception {
        assertThat(run(Map.of(), arguments.isEmpty() ? new String[0] : arguments.split(" "))).isEqualTo(status);
        assertThat(printed).contains(expected);
    }

    private String config() throws Exception {
        try (StandIn engine = GatewayFixture.reader();
                GatewayFixture fixture = new GatewayFixture().engine("r", "prefill", engine)) {
            return fixture.config("127.0.0.1:0");
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            "listen":                 | "lisp":                | config.listen
            "listen":"127.0.0.1:0"    | "listen":"127.0.0.1"   | config.listen
            "listen":"127.0.0.1:0"    | "listen":7             | config.listen
            "discovery":"127          | "discovery":"x127      | config.discovery
            "settings":{              | "setting":{            | config.settings
            "sendCap":5               | "sendCap":"5"          | config.settings.limits.sendCap: not a number
            "sendCap":5               | "sendCap":-1           | config.settings.limits.sendCap: under 1
            "sendCap":5               | "sendCap":0            | config.settings.limits.sendCap: under 1
            "sendCap":5               | "x":5                  | config.settings.limits.sendCap: missing
            "cancel":true             | "cancel":"yes"         | config.settings.limits.cancel: not true or false
            "connIdleMs":30000.0      | "connIdleMs":0         | config.settings.limits.connIdleMs: not above 0
            "connectTimeoutMs":250.0  | "connectTimeoutMs":"x" | config.settings.limits.connectTimeoutMs: not a number
            "connectTimeoutMs":250.0  | "connectTimeoutMs":-5  | config.settings.limits.connectTimeoutMs: not above 0
            "maxOpen":20000           | "maxOpen":0            | config.settings.limits.maxOpen: under 1
            "maxRetryAfterMs":1000.0  | "maxRetryAfterMs":-1   | config.settings.limits.maxRetryAfterMs: under 0
            "balancers":1             | "balancers":0          | config.settings.balancers: under 1
            "zone":0                  | "zone":-1              | config.settings.zone: under 0
            "tickMs":2.0              | "tickMs":true          | config.settings.tickMs: not a number
            "tickMs":2.0              | "tickMs":0             | config.settings.tickMs: not above 0
            "tickMs":2.0              | "tickMs":NaN           | not JSON
            "overShareWorth":0.2      | "overShareWorth":"low" | config.settings.overShareWorth: not a number
            "quotaRps":1000.0         | "quotaRps":-1          | config.settings.parties[0].quotaRps: under 0
            "goalTimeMs":1200.0       | "goalTimeMs":0         | config.settings.lanes[0].goalTimeMs: not above 0
            "goalTimeMs":1200.0       | "x":1200.0             | config.settings.lanes[0].goalTimeMs: missing
            "deadlineMs":6000.0       | "deadlineMs":-6000     | config.settings.lanes[0].deadlineMs: not above 0
            "repeat":"pure"           | "repeat":"token"       | config.settings.lanes[0].keyTtlMs: missing
            "worth":2.0               | "worth":"much"         | config.settings.lanes[0].worth: not a number
            "lanes":[                 | "lanes":[],"x":[       | config.settings.lanes: empty
            "kindMemoryTokens":[200000 | "kindMemoryTokens":[-1 | config.settings.familyInfo.kindMemoryTokens[0]: under 0
            "pinLimitMs":500.0        | "pinLimitMs":0         | config.settings.familyInfo.pinLimitMs: not above 0
            "tokenAimMs":[60.0        | "tokenAimMs":[-60.0    | config.settings.familyInfo.tokenAimMs[0]: under 0
            "tipMultiple":2.5         | "tipMultiple":0        | config.settings.rules.tipMultiple: not above 0
            "warmAfterMs":14000.0     | "warmAfterMs":-1       | config.settings.rules.warmAfterMs: under 0
            "startCapacity":0.26      | "x":0.26               | config.settings.rules.startCapacity: missing
            "repeat":"pure"           | "repeat":"often"       | config.settings.lanes[0].repeat
            "kindRole":["read"        | "kindRole":["typist"   | kindRole
            "name":"lookup"           | "nom":"lookup"         | config.settings.lanes[0].name
            {"name":"n0"              | ["n0"                  | config
            """)
    void badConfigurationExitsWith2AndNamesTheKey(String validText, String invalidText, String key) throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config());
        assertThat(run(Map.of("RELAY_CONFIG", file.toString()), "check-config")).as(printed).isZero();
        Files.writeString(file, config().replace(validText, invalidText));
        assertThat(run(Map.of(), "check-config", "--config", file.toString())).isEqualTo(2);
        assertThat(printed).contains(key).containsOnlyOnce("\n").endsWith("\n");
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            "repeat": "pure"             | "repeat": "often"         | tools.contracts.lookup.repeat
            "deadline_ms": 3000          | "deadline_ms": 0          | tools.contracts.lookup.deadline_ms
            "calls_per_s": 20            | "calls_per_s": "many"     | tools.teams.cyngor-glannau.calls_per_s
            "contract": "lookup"         | "contract": "poem"        | tools.tools.columns.find.contract
            "service": "column-records"  | "service": "poems"        | tools.tools.columns.find.service
            "consul":                    | "console":                | tools.services.column-records.servers
            "teams":                     | "tea":                    | tools.teams
            """)
    void theToolConfigurationExampleIsValidAndErrorsNameTheKey(String validText, String invalidText, String key)
            throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config());
        String example = Files.readString(Path.of("deploy/tools.json"));
        Path toolsFile = folder.resolve("tools.json");
        Files.writeString(toolsFile, example);
        String[] arguments = {"check-config", "--config", file.toString(), "--tools", toolsFile.toString()};
        assertThat(run(Map.of(), arguments)).as(printed).isZero();
        assertThat(example).contains(validText);
        Files.writeString(toolsFile, example.replace(validText, invalidText));
        assertThat(run(Map.of(), arguments)).isEqualTo(2);
        assertThat(printed).contains(key);
    }

    @Test
    void theEnvironmentsAddressTakesPrecedence() throws Exception {
        Path file = folder.resolve("config.json");
        Files.writeString(file, config());
        assertThat(run(Map.of("RELAY_LISTEN", "nowhere"), "check-config", "--config", file.toString())).isEqualTo(2);
        assertThat(printed).contains("RELAY_LISTEN");
    }
}
