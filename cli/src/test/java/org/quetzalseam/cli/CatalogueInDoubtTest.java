package org.quetzalseam.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.cli.load.CallerOutcome;
import org.quetzalseam.cli.site.Wait;

class CatalogueInDoubtTest {
    /** Time within which a change must be in force at every entry, in seconds. */
    private static final long IN_FORCE_SECONDS = 14;

    private static final String TOKEN = "token-library-central";
    private static final String PROMPT = "{\"model\":\"other\",\"prompt\":\"x\",\"max_tokens\":2}";

    private final TestSite site = TestSite.start();
    private final HttpClient client = HttpClient.newHttpClient();

    @AfterEach
    void stop() {
        site.close();
    }

    private HttpResponse<String> post(String token, String path, String body) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(site.entry(0).url() + path))
                .header("Authorization", "Bearer " + token)
                .POST(BodyPublishers.ofString(body))
                .build();
        try {
            return client.send(request, BodyHandlers.ofString());
        } catch (IOException | InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private void assertInDoubt(HttpResponse<String> answer) {
        assertThat(answer.statusCode()).as(answer.body()).isEqualTo(503);
        assertThat(answer.body()).contains("\"code\":\"catalogue-in-doubt\"", "\"outcome\":\"not-run\"");
        assertThat(answer.headers().firstValue("Retry-After")).isPresent();
    }

    // Guards against a final refusal of a name that was added to the catalogue while this entry could not reach the
    // store.
    @Test
    void unknownNamesAreNotRefusedForGoodWhileTheStoreIsUnreachable() throws InterruptedException {
        assertThat(post(TOKEN, "/services/none/x", "").statusCode()).isEqualTo(404);
        site.site().platform().down(true);
        TimeUnit.SECONDS.sleep(IN_FORCE_SECONDS);
        assertInDoubt(post(TOKEN, "/services/none/x", ""));
        assertInDoubt(post(TOKEN, "/v1/completions", PROMPT));
        assertInDoubt(post("nobody", "/v1/completions", PROMPT));
        assertThat(site.shortCompletion(site.entry(0)).join().outcome())
                .as("a request for a known model")
                .isEqualTo(CallerOutcome.ANSWERED);
        site.site().platform().down(false);
        Wait.until(
                TestSite.LIMIT,
                "a final refusal once the store is reachable",
                () -> post(TOKEN, "/services/none/x", "").statusCode() == 404);
    }
}
