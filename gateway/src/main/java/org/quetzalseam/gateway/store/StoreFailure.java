package org.quetzalseam.gateway.store;

/**
 * Why a call to the store brought nothing. Immutable.
 *
 * @param kind what went wrong
 * @param detail a short text for the log
 */
public record StoreFailure(Kind kind, String detail) {
    /** What went wrong with a call to the store. */
    public enum Kind {
        /** The history before the asked revision is gone: list again. */
        HISTORY_GONE,
        /** Another revision is in the store: the write had no effect. */
        CONFLICT,
        /** There is no such object. */
        NOT_FOUND,
        /** No usable answer: a write may have had its effect, or may have it later. */
        UNKNOWN,
        /** An answer that can't be read: asked the same way again, the store may give the same one. */
        UNREADABLE,
        /** The store declined: nothing was done. */
        DECLINED
    }
}
