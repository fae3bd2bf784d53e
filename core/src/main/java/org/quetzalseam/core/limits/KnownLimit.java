package org.quetzalseam.core.limits;

/**
 * What an entry knows of an endpoint's limit, as it tells another entry. Immutable.
 *
 * @param limited whether the endpoint states a limit
 * @param perSecond the limit in requests a second, 0 if there is none
 * @param ageNanos how long ago the entry learnt this
 */
public record KnownLimit(boolean limited, double perSecond, long ageNanos) {
    /** Checks the numbers. */
    public KnownLimit {
        if (!(perSecond >= 0 && perSecond < Double.POSITIVE_INFINITY) || ageNanos < 0) {
            throw new IllegalArgumentException(
                    "perSecond, ageNanos: expected finite numbers of at least 0, got " + perSecond + ", " + ageNanos);
        }
    }
}
