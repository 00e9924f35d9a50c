package org.kingcuproad.daemon;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.kingcuproad.config.settings.AgentSettings;
import org.kingcuproad.config.settings.SettingsReader;
import org.kingcuproad.model.KingcuproadException;

/** Runs an agent. */
@Parameters(commandDescription = "Run the agent beside an upstream")
final class AgentCommand implements DaemonCommand {

    @Parameter(names = "--settings", required = true, description = "Settings file, JSON with comments")
    private String settingsFile = "";

    @Override
    public String name() {
        return "agent";
    }

    @Override
    public Runnable start() throws KingcuproadException {
        AgentSettings settings = SettingsReader.readAgent(SettingsFile.read(settingsFile));
        AgentProcess process = AgentProcess.start(settings);
        return process::stop;
    }
}
