package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import maplerail.policy.MemoryLimits;
import maplerail.support.ManualLoop;
import org.junit.jupiter.api.Test;

class ClientMemoryTest {
    private static final int LIMIT = 1_000;

    private final List<String> yielded = new ArrayList<>();
    private final List<String> log = new ArrayList<>();
    private final ManualLoop loop = new ManualLoop();
    private final ClientMemory memory = new ClientMemory(new MemoryLimits(LIMIT), loop, log::add);

    private ClientMemory.IncompleteRequest request(String name) {
        return () -> yielded.add(name);
    }

    /** Guards against a slow client that has to yield in place of one that sends nothing more. */
    @Test
    void theIncompleteRequestThatHasBeenQuietForLongestYields() {
        ClientMemory.IncompleteRequest slow = request("slow");
        memory.addIncomplete(slow, 200);
        memory.addIncomplete(request("stopped"), 200);
        memory.addIncomplete(slow, 0);
        memory.addIncomplete(request("new"), 200);
        assertThat(yielded).containsExactly("stopped");
        assertThat(memory.held(ClientMemory.Kind.INCOMPLETE_REQUEST)).isEqualTo(400);
        assertThat(log).singleElement().asString().contains("INCOMPLETE_REQUEST=600 ")
                .contains("of 1000 bytes");
    }

    /** Guards against bytes that stay on the account of a request that is over. */
    @Test
    void aRequestThatIsCompleteOrClosedHoldsNothing() {
        ClientMemory.IncompleteRequest request = request("a");
        memory.addIncomplete(request, 300);
        memory.removeIncomplete(request);
        memory.removeIncomplete(request);
        assertThat(memory.held(ClientMemory.Kind.INCOMPLETE_REQUEST)).isZero();
        assertThat(yielded).isEmpty();
    }

    /** Guards against a complete request that is refused while bytes of incomplete ones are held. */
    @Test
    void incompleteRequestsYieldBeforeACompleteOneIsRefused() {
        memory.add(ClientMemory.Kind.OPEN_REQUEST, 700);
        memory.addIncomplete(request("incomplete"), 200);
        assertThat(memory.hasRoomFor(300)).isTrue();
        assertThat(yielded).containsExactly("incomplete");
        assertThat(memory.hasRoomFor(301)).isFalse();
        memory.add(ClientMemory.Kind.OPEN_REQUEST, -700);
        assertThat(memory.hasRoomFor(LIMIT)).isTrue();
    }
}
