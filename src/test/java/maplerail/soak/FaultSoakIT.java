package maplerail.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A short fault soak with fixed seeds; longer ones are run from the command line of {@link FaultSoak}. */
class FaultSoakIT {
    private static final int GATEWAYS = 3;
    private static final int SECONDS = 8;
    private static final List<Trouble> ENGINE_TROUBLES = List.of(Trouble.WRITERS_STOP, Trouble.ENGINE_MISBEHAVES,
            Trouble.ENGINE_RESTARTS, Trouble.ENGINE_DRAINS, Trouble.ENGINE_CUT_OFF, Trouble.CONNECTIONS_FALL_SILENT,
            Trouble.CONNECTIONS_RESET, Trouble.DISCOVERY_SILENT, Trouble.IDLE_CROWD);
    private static final Path FOLDER = Path.of("target/soak-it").toAbsolutePath();

    @Test
    void noRuleIsBrokenUnderTroublesOfAllKinds() throws Exception {
        assertThat(FaultSoak.runSeed(6001, SECONDS, GATEWAYS, Trouble.DEFAULTS, FOLDER)).isZero();
    }

    /** Among the troubles of this seed, a reader loses reads and other readers stop right after. */
    @Test
    void noRuleIsBrokenUnderTroublesOfAllKindsWithReadersThatLoseReads() throws Exception {
        assertThat(FaultSoak.runSeed(6003, SECONDS, GATEWAYS, Trouble.DEFAULTS, FOLDER)).isZero();
    }

    @Test
    void noRuleIsBrokenUnderTroublesOfEngines() throws Exception {
        assertThat(FaultSoak.runSeed(7005, SECONDS, GATEWAYS, ENGINE_TROUBLES, FOLDER)).isZero();
    }

    @Test
    void noRuleIsBrokenWhileReadersStopAndReadsBreak() throws Exception {
        List<Trouble> troubles = List.of(Trouble.READERS_STOP, Trouble.CONNECTIONS_RESET, Trouble.ROLLING_RESTART);
        assertThat(FaultSoak.runSeed(8904, SECONDS, GATEWAYS, troubles, FOLDER)).isZero();
    }

    @Test
    void noRuleIsBrokenWhileWritersStopAndGatewaysEnd() throws Exception {
        List<Trouble> troubles = List.of(Trouble.WRITERS_STOP, Trouble.ROLLING_RESTART);
        assertThat(FaultSoak.runSeed(6002, SECONDS, GATEWAYS, troubles, FOLDER)).isZero();
    }

    /** Guards against states that stay behind writes which were given up while they waited at full writers. */
    @Test
    void noRuleIsBrokenWhileWritersAreFull() throws Exception {
        List<Trouble> troubles = List.of(Trouble.WRITERS_FULL, Trouble.ROLLING_RESTART);
        assertThat(FaultSoak.runSeed(6005, SECONDS, GATEWAYS, troubles, FOLDER)).isZero();
    }

    /** Guards against clients that are left waiting on spoilt streams. */
    @Test
    void noRuleIsBrokenWhileStreamsAreSpoilt() throws Exception {
        List<Trouble> troubles = List.of(Trouble.STREAMS_SPOILT, Trouble.ENGINE_DRAINS);
        assertThat(FaultSoak.runSeed(6004, SECONDS, GATEWAYS, troubles, FOLDER)).isZero();
    }
}
