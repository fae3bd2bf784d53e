package org.quetzalseam.cli.load;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.quetzalseam.cli.site.Site;
import org.quetzalseam.cli.site.Wait;

/** Sends a schedule of requests to a site and collects their outcomes. For use by a single thread. */
public final class LoadRun {
    private static final long FINAL_ANSWERS_TIMEOUT_SECONDS = 150;
    private static final Duration RETRY_PAUSE = Duration.ofMillis(300);

    private final Site site;
    private final Caller caller = new Caller();
    private final String runId;
    private final double hangUpShare;
    private final int maxAttempts;
    private final Collection<Sample> samples = new ConcurrentLinkedQueue<>();
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "load");
        thread.setDaemon(true);
        return thread;
    });

    /**
     * Creates a run.
     *
     * @param site site that receives the requests
     * @param runId prefix that distinguishes the ids of this run from those of other runs
     * @param hangUpShare fraction of streamed requests whose callers disconnect early
     */
    public LoadRun(Site site, String runId, double hangUpShare) {
        this(site, runId, hangUpShare, 1);
    }

    /** Creates a run whose callers send a keyed request up to {@code maxAttempts} times with one key. */
    public LoadRun(Site site, String runId, double hangUpShare, int tries) {
        this.maxAttempts = tries;
        this.site = site;
        this.runId = runId;
        this.hangUpShare = hangUpShare;
    }

    /**
     * Sends all requests at their scheduled times. Returns the samples when the last request has ended, or 150 s after
     * the last was sent, whichever is earlier.
     */
    public List<Sample> run(List<PlannedRequest> schedule, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        long start = System.nanoTime();
        for (PlannedRequest planned : schedule) {
            long at = start + planned.atNanos();
            long left = at - System.nanoTime();
            while (left > 0) {
                LockSupport.parkNanos(left);
                left = at - System.nanoTime();
            }
            int hangUp = random.nextDouble() < hangUpShare ? random.nextInt(20) : -1;
            threads.execute(() -> send(planned, at, hangUp));
        }
        finish();
        return List.copyOf(samples);
    }

    /** Returns how many requests have ended so far. */
    public int ended() {
        return samples.size();
    }

    private void send(PlannedRequest planned, long at, int hangUp) {
        String key = Uuid7.next(runId + planned.number());
        Sample sample = sendOnce(planned, at, hangUp, key, 0);
        // A caller with a key retries with the same key at another entry until it is answered, up to the limit.
        for (int attempt = 1;
                attempt < maxAttempts && planned.traffic().keyed() && sample.outcome() != CallerOutcome.ANSWERED;
                attempt++) {
            Wait.sleep(RETRY_PAUSE);
            sample = sendOnce(planned, at, hangUp, key, attempt);
        }
        samples.add(sample);
    }

    private Sample sendOnce(PlannedRequest planned, long at, int hangUp, String key, int attempt) {
        String url = site.entry(planned.number() + attempt).url();
        return caller.send(planned, url, at, runId, hangUp, key);
    }

    private void finish() {
        threads.shutdown();
        try {
            if (!threads.awaitTermination(FINAL_ANSWERS_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                threads.shutdownNow();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
