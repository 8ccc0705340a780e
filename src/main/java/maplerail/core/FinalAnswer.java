package maplerail.core;

/** How a request ended, as seen by its caller. */
enum FinalAnswer {
    SERVED, BROKEN, REFUSED, FAILED, NOT_ADMITTED, CLIENT_LEFT
}
