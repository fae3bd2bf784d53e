package org.quetzalseam.gateway.crash;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.runtime.ScheduledCall;
import org.quetzalseam.gateway.runtime.ThrownErrors;
import org.quetzalseam.gateway.runtime.Timers;

/** Plans when an entry reads the reports of all entries and writes its own. Used on the event loop only. */
final class ReportSchedule {
    /** Delay of an urgent report, in milliseconds, so that all requests that were lost in one crash are reported together. */
    private static final long URGENT_DELAY_MILLIS = 50;
    /** Delay of any other report, in milliseconds: requests that were lost in one crash end at different times. */
    private static final long USUAL_DELAY_MILLIS = 300;
    /**
     * When the reports are read after a crash, in milliseconds: first when they have usually been written, last before the three
     * seconds are over in which all entries are to know.
     */
    private static final long[] READ_DELAYS_MILLIS = {300, 1_000, 2_500};
    /** Reads that are planned within this time of each other are made once, in nanoseconds. */
    private static final long SAME_READ_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    /** Time after which a read or a write that failed is repeated, in nanoseconds. */
    private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Timers timers;
    private final CrashReports reports;
    private final Set<Long> plannedReads = new HashSet<>();
    private @Nullable ScheduledCall plannedReport;
    private long plannedReportAt;
    private boolean reporting;
    private boolean lastReportFailed;
    private long retryAt;

    ReportSchedule(Timers timers, CrashReports reports) {
        this.timers = timers;
        this.reports = reports;
    }

    /** Reads the reports a few times in the next seconds, because another entry may have something to report. */
    void readSoon() {
        for (long delay : READ_DELAYS_MILLIS) {
            planRead(TimeUnit.MILLISECONDS.toNanos(delay));
        }
    }

    private void planRead(long delayNanos) {
        long at = timers.now() + delayNanos;
        if (plannedReads.stream().noneMatch(planned -> Math.abs(planned - at) < SAME_READ_NANOS)) {
            plannedReads.add(at);
            timers.after(TimeUnit.NANOSECONDS.toMillis(delayNanos), () -> read(at));
        }
    }

    private void read(long plannedAt) {
        plannedReads.remove(plannedAt);
        reports.read(read -> {
            if (!read && plannedReads.isEmpty()) {
                planRead(RETRY_NANOS);
            }
            reportIfOutdated();
        });
    }

    /** Writes this entry's report if the store has another one. */
    void reportIfOutdated() {
        if (reports.outdated()) {
            reportSoon(true);
        }
    }

    /** Writes this entry's report soon. */
    void reportSoon(boolean urgent) {
        long at = timers.now() + TimeUnit.MILLISECONDS.toNanos(urgent ? URGENT_DELAY_MILLIS : USUAL_DELAY_MILLIS);
        if (lastReportFailed && at - retryAt < 0) {
            at = retryAt;
        }
        if (reporting || (plannedReport != null && plannedReportAt - at <= 0)) {
            return;
        }
        cancelPlannedReport();
        plannedReportAt = at;
        plannedReport = timers.after(TimeUnit.NANOSECONDS.toMillis(at - timers.now()), this::report);
    }

    private void cancelPlannedReport() {
        ScheduledCall planned = plannedReport;
        if (planned != null) {
            planned.cancel();
            plannedReport = null;
        }
    }

    private void report() {
        plannedReport = null;
        reporting = true;
        try {
            reports.write(this::reported);
        } catch (Throwable e) {
            ThrownErrors.record("crash-report", e);
            reported(false);
        }
    }

    private void reported(boolean written) {
        reporting = false;
        lastReportFailed = !written;
        retryAt = timers.now() + RETRY_NANOS;
        reportIfOutdated();
    }
}
