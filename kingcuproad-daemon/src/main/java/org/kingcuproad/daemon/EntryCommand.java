package org.kingcuproad.daemon;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.concurrent.TimeUnit;
import org.kingcuproad.config.settings.EntrySettings;
import org.kingcuproad.config.settings.SettingsReader;
import org.kingcuproad.entry.Entry;
import org.kingcuproad.model.KingcuproadException;

/** Runs an entry. */
@Parameters(commandDescription = "Run an entry: callers, administration and routing")
final class EntryCommand implements DaemonCommand {

    @Parameter(names = "--settings", required = true, description = "Settings file, JSON with comments")
    private String settingsFile = "";

    @Override
    public String name() {
        return "entry";
    }

    @Override
    public Runnable start() throws KingcuproadException {
        EntrySettings settings = SettingsReader.readEntry(SettingsFile.read(settingsFile));
        Entry entry = Entry.start(settings);
        return () -> {
            GracefulStop.await(entry.drain(), entry.drainLimitSeconds(), TimeUnit.SECONDS);
            entry.close();
        };
    }
}
