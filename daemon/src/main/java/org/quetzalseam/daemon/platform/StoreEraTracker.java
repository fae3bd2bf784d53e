package org.quetzalseam.daemon.platform;

import com.google.common.flogger.FluentLogger;
import java.net.http.HttpResponse;
import java.util.Optional;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.daemon.platform.StoreException.Code;

/**
 * The era of the store's answers: 0 at first, it rises by one each time the store comes back from an older copy. A store that states
 * none has one era. Thread-safe.
 */
final class StoreEraTracker {
    static final String HEADER = "Store-Era";

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private long newest = StorePosition.NO_ERA;
    private boolean stated;

    /** Returns the newest era that an answer has stated. */
    synchronized long newest() {
        return newest;
    }

    /** Returns the era of an answer that has been taken. */
    static long of(HttpResponse<?> answer) {
        return answer.headers().firstValue(HEADER).map(StoreEraTracker::parse).orElse(StorePosition.NO_ERA);
    }

    private static long parse(String header) {
        try {
            return Long.parseLong(header.strip());
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /**
     * Takes what an answer says of its era.
     *
     * @param header the header's value
     * @param success whether the answer brings what was asked for; others may come from before the store and say nothing
     * @throws StoreException if the answer can't be used: what it shows or did may be gone
     */
    synchronized void update(Optional<String> header, boolean success) {
        if (header.isEmpty()) {
            if (stated && success) {
                throw unusable("missing", "expected it, as in earlier answers");
            }
            return;
        }
        long era = parse(header.get());
        if (era < newest || era > StorePosition.MAX_ERA) {
            throw unusable(header.get(), "expected a whole number from " + newest + " to " + StorePosition.MAX_ERA);
        }
        if (stated && era > newest) {
            logger.atWarning().log("event=store-era-risen before=%d era=%d", newest, era);
        }
        newest = era;
        stated = true;
    }

    private StoreException unusable(String header, String detail) {
        logger.atWarning().log("event=store-era-unusable era=%d header=\"%s\" detail=\"%s\"", newest, header, detail);
        return new StoreException(Code.UNAVAILABLE, "header " + HEADER + " is '" + header + "': " + detail, null);
    }
}
