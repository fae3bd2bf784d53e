package org.quetzalseam.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.cli.load.CallerOutcome;
import org.quetzalseam.cli.load.LoadRun;
import org.quetzalseam.cli.load.Report;
import org.quetzalseam.cli.load.Sample;
import org.quetzalseam.cli.load.Schedule;
import org.quetzalseam.cli.site.Deployment;
import org.quetzalseam.cli.site.Site;
import org.quetzalseam.cli.site.SiteOptions;
import org.quetzalseam.cli.site.Traffic;

class EndToEndTest {
    private static final double SPEED = 8;

    private final Deployment deployment = Deployment.bundled("kowhai");
    private final Site site = new Site(deployment, SiteOptions.defaults().withSpeed(SPEED));

    @BeforeEach
    void startSite() {
        site.start();
    }

    @AfterEach
    void stopSite() {
        site.stop();
    }

    @Test
    void everyRequestIsAnsweredOnceAndCompletely() {
        List<Traffic> traffic =
                deployment.traffic().stream().map(kind -> kind.faster(SPEED)).toList();
        List<Sample> samples = new LoadRun(site, "whole", 0).run(Schedule.draw(traffic, 0.3, 2, 7), 7);
        assertThat(Report.of(site, traffic, samples).violations()).isEmpty();
        assertThat(samples)
                .allSatisfy(sample -> assertThat(sample.outcome())
                        .as("%s %s", sample.businessId(), sample.code())
                        .isIn(CallerOutcome.ANSWERED, CallerOutcome.UNKNOWN));
    }
}
