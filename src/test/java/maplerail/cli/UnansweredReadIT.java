package maplerail.cli;

import static maplerail.support.SilentReader.id;
import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import maplerail.support.GatewayFixture;
import maplerail.support.GatewayProgram;
import maplerail.support.HeldTimes;
import maplerail.support.StandIn;
import maplerail.support.StoppableEngine;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Runs a gateway process whose first read of a request ends without an answer and leaves a state, while all other
 * readers are stopped. No engine that runs has an attempt of the request from then on, so the state must be released in
 * time whatever the gateway sends to the stopped readers.
 */
class UnansweredReadIT {
    private static final int READERS = 4;
    private static final int WARM_REQUESTS = 12;
    private static final int READ_AFTER_CLOSE_MS = 200;
    private static final String LONG_DEADLINE_S = "4.0";
    private static final String SHORT_DEADLINE_S = "1.2";

    /** How the first read ends. */
    enum Ending {
        /** The reader finishes the read and breaks the connection. */
        RESET,
        /** The same, and the reader is stopped. */
        RESET_AND_STOPPED,
        /** The reader finishes the read as the gateway calls it off. */
        CALLED_OFF,
        /** The reader finishes the read some time after the gateway has called it off. */
        FINISHED_AFTER_CALL_OFF
    }

    @TempDir
    Path folder;

    private final HeldTimes times = new HeldTimes();
    private final List<StoppableEngine> readers = new ArrayList<>();

    @AfterEach
    void closeReaders() throws Exception {
        for (StoppableEngine reader : readers) reader.close();
    }

    private StoppableEngine startReader(Ending ending) throws Exception {
        int index = readers.size();
        return new StoppableEngine(exchange -> {
            if (exchange.method.equals("DELETE")) {
                release(exchange);
            } else if (id(exchange).startsWith("warm")) {
                exchange.reply(202, "{\"cached_tokens\":0}");
            } else {
                times.attemptInFlight(id(exchange));
                stopReaders(index, ending == Ending.RESET_AND_STOPPED);
                endRead(exchange, ending);
            }
        });
    }

    private void stopReaders(int reading, boolean alsoReading) {
        for (int i = 0; i < readers.size(); i++) {
            if (i != reading || alsoReading) readers.get(i).stop();
        }
    }

    private void endRead(StandIn.Exchange exchange, Ending ending) throws Exception {
        boolean calledOff = ending == Ending.CALLED_OFF || ending == Ending.FINISHED_AFTER_CALL_OFF;
        if (calledOff) exchange.awaitClose();
        if (ending == Ending.FINISHED_AFTER_CALL_OFF) {
            exchange.reset();
            TimeUnit.MILLISECONDS.sleep(READ_AFTER_CLOSE_MS);
        }
        times.held(id(exchange));
        exchange.reset();
    }

    private void release(StandIn.Exchange exchange) throws Exception {
        times.released(id(exchange));
        exchange.reply(204, "");
    }

    private StandIn writer() throws Exception {
        return new StandIn(exchange -> {
            if (exchange.method.equals("DELETE")) {
                release(exchange);
                return;
            }
            if (!id(exchange).startsWith("warm")) times.taken(id(exchange));
            exchange.startStream();
            exchange.chunk("data: [DONE]\n\n");
            exchange.endStream();
        });
    }

    private void assertReleasedInTime(Ending ending, String kind, String deadlineS) throws Exception {
        for (int i = 0; i < READERS; i++) readers.add(startReader(ending));
        try (StandIn writer = writer();
                GatewayFixture fixture = new GatewayFixture().engine("w", "decode", writer)) {
            for (int i = 0; i < READERS; i++)
                fixture.engine("r" + i, "prefill", readers.get(i).address(), "in_service");
            String config = fixture.config("127.0.0.1:0").replace("\"secondCopies\":true", "\"secondCopies\":false");
            try (GatewayProgram gateway = GatewayProgram.serve(folder, config)) {
                gateway.readyPort();
                for (int i = 0; i < WARM_REQUESTS; i++) {
                    assertThat(gateway.exchange(GatewayFixture.request("warm" + i, "lookup", LONG_DEADLINE_S)))
                            .contains("[DONE]");
                }
                CompletableFuture.runAsync(() -> gateway.exchange(GatewayFixture.request("a1", kind, deadlineS)));
                times.assertReleasedInTime("a1");
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"RESET, lookup", "RESET, repair-order", "CALLED_OFF, lookup", "CALLED_OFF, repair-order"})
    void aStateLeftByAnUnansweredReadIsReleasedInTimeThoughTheNextReaderIsStopped(Ending ending, String kind)
            throws Exception {
        assertReleasedInTime(ending, kind, LONG_DEADLINE_S);
    }

    @ParameterizedTest
    @CsvSource({"lookup", "repair-order"})
    void aStateLeftAfterACallOffIsReleasedInTimeThoughTheNextReaderIsStopped(String kind) throws Exception {
        assertReleasedInTime(Ending.FINISHED_AFTER_CALL_OFF, kind, LONG_DEADLINE_S);
    }

    @ParameterizedTest
    @CsvSource({"lookup", "repair-order"})
    void aStateLeftAtAStoppedReaderIsReleasedInTimeThroughAnotherEngine(String kind) throws Exception {
        assertReleasedInTime(Ending.RESET_AND_STOPPED, kind, LONG_DEADLINE_S);
    }

    @Test
    void aStateLeftByAnUnansweredReadIsReleasedInTimeUnderAShortDeadline() throws Exception {
        assertReleasedInTime(Ending.RESET, "repair-order", SHORT_DEADLINE_S);
    }
}
