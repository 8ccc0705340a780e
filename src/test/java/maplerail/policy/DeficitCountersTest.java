package maplerail.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class DeficitCountersTest {
    private static final int CLIENT = 1;
    private static final int OTHER = 2;
    private static final double QUANTUM_TOKENS = 40_000;

    private final DeficitCounters counters = new DeficitCounters();
    private final DeficitCounters.ReaderCounters reader = counters.newReader();

    @Test
    void growsByAQuantumWhenNoCreditIsLeft() {
        assertThat(reader.credit(CLIENT)).isZero();
        counters.replenishIfExhausted(CLIENT, 0);
        assertThat(reader.credit(CLIENT)).isEqualTo(QUANTUM_TOKENS);
        assertThat(reader.credit(OTHER)).isZero();
    }

    @Test
    void doesNotGrowWhileCreditIsLeft() {
        counters.replenishIfExhausted(CLIENT, 1);
        assertThat(reader.credit(CLIENT)).isZero();
    }

    @Test
    void growsByEnoughQuantaToMakeTheCreditPositive() {
        reader.charge(CLIENT, 2.5 * QUANTUM_TOKENS);
        counters.replenishIfExhausted(CLIENT, reader.credit(CLIENT));
        assertThat(reader.credit(CLIENT)).isEqualTo(0.5 * QUANTUM_TOKENS);
    }

    @Test
    void chargesOnlyTheGivenClientAndReader() {
        counters.replenishIfExhausted(CLIENT, 0);
        counters.replenishIfExhausted(OTHER, 0);
        DeficitCounters.ReaderCounters second = counters.newReader();
        reader.charge(CLIENT, 100);
        assertThat(reader.credit(CLIENT)).isEqualTo(QUANTUM_TOKENS - 100);
        assertThat(reader.credit(OTHER)).isEqualTo(QUANTUM_TOKENS);
        assertThat(second.credit(CLIENT)).isEqualTo(QUANTUM_TOKENS);
    }

    @Test
    void givesANewReaderOneQuantumWhateverWasGrantedBefore() {
        reader.charge(CLIENT, 10 * QUANTUM_TOKENS);
        counters.replenishIfExhausted(CLIENT, reader.credit(CLIENT));
        assertThat(counters.newReader().credit(CLIENT)).isEqualTo(QUANTUM_TOKENS);
    }
}
