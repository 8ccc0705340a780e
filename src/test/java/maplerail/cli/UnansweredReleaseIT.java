package maplerail.cli;

import static maplerail.support.SilentReader.id;
import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import maplerail.support.GatewayProgram;
import maplerail.support.StandIn;
import maplerail.support.GatewayFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * A release ends everything that is held for its request, at any engine that gets it. Retries of a release that its
 * reader does not answer must not end the request's next read at another reader, nor the state of that read.
 */
class UnansweredReleaseIT {
    private static final int WARM_REQUESTS = 10;
    private static final int READ_MS = 250;

    @TempDir
    Path folder;

    private final Set<String> alreadyRead = ConcurrentHashMap.newKeySet();
    private final Set<String> alreadyDeclined = ConcurrentHashMap.newKeySet();
    /** Requests whose second read is in flight, or whose state from that read waits for a writer. */
    private final Set<String> inUse = ConcurrentHashMap.newKeySet();
    /** Requests for which any engine received a release while they were in use. */
    private final List<String> released = Collections.synchronizedList(new ArrayList<>());

    private void release(StandIn.Exchange exchange) throws Exception {
        String id = exchange.target.replaceFirst(".*/", "");
        if (inUse.contains(id)) released.add(id);
        exchange.reply(204, "");
    }

    /** A reader. The first one to read a request does not answer that request's releases. */
    private StandIn reader() throws Exception {
        Set<String> readsOfThisReader = ConcurrentHashMap.newKeySet();
        return new StandIn(exchange -> {
            if (exchange.method.equals("DELETE")) {
                if (readsOfThisReader.contains(exchange.target.replaceFirst(".*/", ""))) exchange.awaitClose();
                else release(exchange);
                return;
            }
            String id = id(exchange);
            if (id.startsWith("warm")) {
                exchange.reply(202, "{\"cached_tokens\":0}");
            } else if (alreadyRead.add(id)) {
                readsOfThisReader.add(id);
                exchange.reply(202, "{\"cached_tokens\":0}");
            } else {
                inUse.add(id);
                TimeUnit.MILLISECONDS.sleep(READ_MS);
                exchange.reply(202, "{\"cached_tokens\":0}");
            }
        });
    }

    private StandIn writer() throws Exception {
        return new StandIn(exchange -> {
            if (exchange.method.equals("DELETE")) {
                release(exchange);
                return;
            }
            // This writer cannot reach the first reader either.
            if (!id(exchange).startsWith("warm") && alreadyDeclined.add(id(exchange))) {
                exchange.reply(410, "", "Srv-Declined: 1");
                return;
            }
            inUse.remove(id(exchange));
            exchange.startStream();
            exchange.chunk("data: [DONE]\n\n");
            exchange.endStream();
        });
    }

    @Test
    void anUnansweredReleaseDoesNotAffectTheNextRead() throws Exception {
        try (StandIn one = reader();
                StandIn other = reader();
                StandIn writer = writer();
                GatewayFixture fixture = new GatewayFixture().engine("r0", "prefill", one)
                        .engine("r1", "prefill", other)
                        .engine("w",
                                "decode", writer);
                GatewayProgram gateway = GatewayProgram.serve(folder, fixture.config("127.0.0.1:0"))) {
            gateway.readyPort();
            for (int i = 0; i < WARM_REQUESTS; i++) {
                assertThat(gateway.exchange(GatewayFixture.request("warm" + i, "lookup", "5.0"))).contains("[DONE]");
            }
            for (String id : List.of("a1", "a2", "a3")) {
                assertThat(gateway.exchange(GatewayFixture.request(id, "lookup", "5.0"))).contains("[DONE]");
            }
            assertThat(released)
                    .as("requests released while their second read was in flight or its state was waited for")
                    .isEmpty();
        }
    }
}
