package org.kingcuproad.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.time.Duration;
import org.kingcuproad.ctl.load.LoadRun;
import org.kingcuproad.ctl.load.LoadSettings;
import org.kingcuproad.model.ErrorKind;
import org.kingcuproad.model.KingcuproadException;

/** Sends load to an entry or an upstream and checks every response. */
@Parameters(commandDescription = "Send load to an entry or an upstream and check every response")
final class LoadCommand implements Command {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Parameter(names = "--target", required = true, description = "Address such as http://127.0.0.1:8080")
    private String target = "";

    @Parameter(names = "--credential", description = "Credential of the workspace")
    private String credential = "";

    @Parameter(names = "--model", description = "Model of the chat completions")
    private String model = "model";

    @Parameter(names = "--path", description = "Path of a plain service to GET instead of chat completions")
    private String path = "";

    @Parameter(names = "--rate", description = "Requests a second, sent whether or not earlier ones were answered")
    private double ratePerSecond;

    @Parameter(names = "--concurrency", description = "Requests in flight, each followed by the next one")
    private int concurrency;

    @Parameter(names = "--duration-seconds", description = "Length of the measured interval, in seconds")
    private int durationSeconds = 10;

    @Parameter(names = "--warm-up-seconds", description = "Time under load before the measured interval, in seconds")
    private int warmUpSeconds = 2;

    @Parameter(names = "--tokens", description = "Tokens of each completion")
    private int tokens = 16;

    @Parameter(names = "--stream", description = "Ask for streamed completions")
    private boolean stream;

    @Parameter(names = "--json", description = "Print the result as one JSON object")
    private boolean json;

    @Override
    public String name() {
        return "load";
    }

    @Override
    public ExitCode run(PrintStream out, PrintStream err) throws KingcuproadException {
        if (ratePerSecond > 0 == concurrency > 0) {
            err.println("kingcuproadctl: give either --rate or --concurrency");
            return ExitCode.USAGE;
        }
        if (durationSeconds <= 0 || warmUpSeconds < 0 || tokens <= 0) {
            err.println("kingcuproadctl: --duration-seconds and --tokens must be positive");
            return ExitCode.USAGE;
        }
        LoadSettings settings = new LoadSettings(
                target,
                path,
                credential,
                model,
                tokens,
                stream,
                ratePerSecond,
                concurrency,
                Duration.ofSeconds(warmUpSeconds),
                Duration.ofSeconds(durationSeconds));
        try {
            var summary = new LoadRun(settings).run();
            print(MAPPER.valueToTree(summary), out);
            return summary.faultless() ? ExitCode.SUCCESS : ExitCode.FAILURE;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new KingcuproadException(ErrorKind.INTERNAL, "interrupted", interrupted);
        }
    }

    private void print(JsonNode result, PrintStream out) {
        if (json) {
            out.println(result);
        } else {
            JsonLines.print(result, "", out);
        }
    }
}
