/**
 * Handles requests from arrival to their one final answer, independent of wire protocols: admission, quotas, the
 * decision module's actions, attempts, answers and the states that engines hold.
 */
package maplerail.core;
