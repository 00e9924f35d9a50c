package org.kingcuproad.daemon;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;
import org.kingcuproad.agent.Agent;
import org.kingcuproad.agent.AgentOptions;
import org.kingcuproad.config.settings.AgentSettings;
import org.kingcuproad.config.settings.SettingsReader;
import org.kingcuproad.model.KingcuproadException;

/** Runs an agent. */
@Parameters(commandDescription = "Run the agent beside an upstream")
final class AgentCommand implements DaemonCommand {

    private static final int DRAIN_LIMIT_SECONDS = 300;

    @Parameter(names = "--settings", required = true, description = "Settings file, JSON with comments")
    private String settingsFile = "";

    @Override
    public String name() {
        return "agent";
    }

    @Override
    public Runnable start() throws KingcuproadException {
        AgentSettings settings = SettingsReader.readAgent(SettingsFile.read(settingsFile));
        long incarnation = new SecureRandom().nextLong(1, Long.MAX_VALUE);
        AgentOptions options = AgentOptions.of(settings.upstream(), settings.upstreamUrl(), incarnation)
                .withListen(settings.listenHost(), settings.agentPort(), settings.adminPort());
        Agent agent = Agent.start(options);
        return () -> {
            GracefulStop.await(agent.drain(), DRAIN_LIMIT_SECONDS, TimeUnit.SECONDS);
            agent.close();
        };
    }
}
