package maplerail.core;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import maplerail.core.Lifecycle.Phase;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LifecycleTest {
    @ParameterizedTest
    @CsvSource({"READY,true", "READY READY,false", "DRAINING,true", "READY DRAINING STOPPED,true",
            "READY STOPPED,false",
            "DRAINING READY,false", "READY DRAINING FINISHING STOPPED,true", "READY FINISHING,false",
            "DRAINING FINISHING DRAINING,false", "STOPPED,true", "STOPPED STARTING,false",
            "DRAINING STOPPED DRAINING,false"})
    void onlyLegalTransitionsAreAllowed(String phases, boolean legal) {
        Lifecycle lifecycle = new Lifecycle();
        Runnable makeTransitions = () -> {
            for (String to : phases.split(" ")) lifecycle.moveTo(Phase.valueOf(to));
        };
        if (legal) {
            makeTransitions.run();
            assertThat(lifecycle.phase().name()).isEqualTo(phases.substring(phases.lastIndexOf(' ') + 1));
        } else {
            assertThatThrownBy(makeTransitions::run).isInstanceOf(IllegalStateException.class);
        }
    }
}
