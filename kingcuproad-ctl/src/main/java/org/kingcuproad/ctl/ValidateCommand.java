package org.kingcuproad.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.kingcuproad.config.CanonicalJson;
import org.kingcuproad.config.json.DocumentInvalidException;
import org.kingcuproad.config.settings.SettingsReader;
import org.kingcuproad.model.KingcuproadException;

/**
 * Checks a file and lists all its mistakes.
 *
 * <p>Exit codes: 0 if the file has no mistakes, 3 if it has, 1 if it can't be read.
 */
@Parameters(commandDescription = "Check an environment document or a settings file")
public final class ValidateCommand implements Command {

    @Parameter(description = "FILE", required = true)
    private String file = "";

    @Parameter(names = "--kind", description = "What the file is: environment, entry or agent")
    private FileKind kind = FileKind.ENVIRONMENT;

    @Parameter(names = "--canonical", description = "Write the canonical form of a valid environment document")
    private boolean canonical;

    @Parameter(names = "--json", description = "Write the result as JSON")
    private boolean json;

    /** Creates the command. */
    public ValidateCommand() {}

    @Override
    public String name() {
        return "validate";
    }

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws KingcuproadException {
        byte[] content = InputFile.read(file);
        try {
            report(out, content);
            return ExitCode.SUCCESS;
        } catch (DocumentInvalidException failure) {
            MistakeReport.print(file, failure.mistakes(), json, out, err);
            return ExitCode.INVALID;
        }
    }

    private void report(PrintStream out, byte[] content) throws DocumentInvalidException {
        switch (kind) {
            case ENTRY -> SettingsReader.readEntry(content);
            case AGENT -> SettingsReader.readAgent(content);
            case ENVIRONMENT -> {
                byte[] canonicalForm = CanonicalJson.of(content);
                if (canonical) {
                    out.println(new String(canonicalForm, StandardCharsets.UTF_8));
                    return;
                }
            }
        }
        out.println(json ? MistakeReport.toJson(file, List.of()) : file + ": no mistakes");
    }

    /** What a file is; JCommander accepts the names in any case. */
    enum FileKind {

        /** An environment document. */
        ENVIRONMENT,

        /** Settings of an entry. */
        ENTRY,

        /** Settings of an agent. */
        AGENT
    }
}
