package maplerail.core;

import maplerail.policy.StateLease;

/**
 * A state that a reader may hold: a read there ended without an answer, or its release was not answered.
 *
 * @param lease how long it may be held
 * @param sinceMs releases that were sent before this time do not cover it
 */
record UnconfirmedState(StateLease lease, double sinceMs) {}
