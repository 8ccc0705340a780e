package maplerail.support;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;

class KnownFailuresTest {
    @Test
    void onlyAListedTestIsPassedOver() {
        KnownFailures failures = new KnownFailures(List.of("# a comment", "", "PoolTest.broken | a cause | issue 16"));
        assertThat(failures.verdict("PoolTest.broken").isDisabled()).isTrue();
        assertThat(failures.verdict("PoolTest.other").isDisabled()).isFalse();
        assertThat(failures.verdict("").isDisabled()).isFalse();
    }

    @Test
    void aListThatCannotBeReadOrIsTooLongIsAnError() {
        assertThatThrownBy(() -> new KnownFailures(List.of("PoolTest.broken")))
                .hasMessageContaining("not 'test | cause | issue'");
        List<String> four = List.of("A.a | c | 1", "A.b | c | 1", "A.c | c | 1", "A.d | c | 1");
        assertThatThrownBy(() -> new KnownFailures(four)).hasMessageContaining("more than 3");
    }
}
