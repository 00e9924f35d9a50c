package org.kingcuproad.config.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.junit.jupiter.api.Test;
import org.kingcuproad.config.json.DocumentInvalidException;
import org.kingcuproad.config.json.Mistake;
import org.kingcuproad.model.HostPort;
import org.kingcuproad.model.Stage;

/** Guards against processes that start with settings that can't work. */
class SettingsReaderTest {

    private static final String ENTRY = """
            {
              "name": "entry-1", "dataCentre": "lowell", "environment": "merrimack", "stage": "trial",
              "callerPort": 8080, "adminPort": 8081, "relayPort": 8082,
              "platformUrl": "http://127.0.0.1:9000",
              "adminCredentialSha256": "%s",
              "peers": ["10.0.0.2:8082", "[fd00::2]:8082"]
            }
            """.formatted("ab".repeat(32));

    private static final String AGENT = """
            {
              "upstream": "draft-1", "dataCentre": "lowell", "environment": "merrimack", "stage": "production",
              "agentPort": 9090, "adminPort": 9091, // both on the VM's address
              "upstreamUrl": "http://127.0.0.1:8000", "platformUrl": "http://127.0.0.1:9000",
              "relays": ["10.0.0.2:8082"]
            }
            """;

    @Test
    void readsTheSettingsOfAnEntry() throws Exception {
        EntrySettings settings = SettingsReader.readEntry(ENTRY.getBytes(StandardCharsets.UTF_8));
        assertThat(settings.stage()).isEqualTo(Stage.TRIAL);
        assertThat(settings.subsetSize()).isEqualTo(24);
        assertThat(settings.peers()).containsExactly(new HostPort("10.0.0.2", 8082), new HostPort("[fd00::2]", 8082));
    }

    @Test
    void readsTheSettingsOfAnAgent() throws Exception {
        AgentSettings settings = SettingsReader.readAgent(AGENT.getBytes(StandardCharsets.UTF_8));
        assertThat(settings.stage()).isEqualTo(Stage.PRODUCTION);
        assertThat(settings.listenHost()).isEqualTo("0.0.0.0");
        assertThat(settings.relays()).containsExactly(new HostPort("10.0.0.2", 8082));
    }

    @Test
    void reportsAllMistakesTogether() {
        String text = ENTRY.replace("\"trial\"", "\"test\"")
                .replace("8081", "8080")
                .replace("8082,", "70000,")
                .replace("10.0.0.2:8082", "10.0.0.2:99999");
        DocumentInvalidException failure = Objects.requireNonNull(catchThrowableOfType(
                DocumentInvalidException.class, () -> SettingsReader.readEntry(text.getBytes(StandardCharsets.UTF_8))));
        assertThat(failure.mistakes())
                .extracting(Mistake::path)
                .containsExactlyInAnyOrder("$.stage", "$.adminPort", "$.relayPort", "$.peers[0]");
    }
}
