import java.nio.file.Path;
import java.util.List;

/** Runs one case: exits with 1 if its rule was broken, 0 if it held, 2 if the case could not run. */
public final class Main {
    interface Case {
        /** Returns the name of the rule that the case checks. */
        String rule();

        /** Plays the case, with its disruption if [trouble]; throws if it could not run. */
        void play(Record record, Platform platform, boolean trouble) throws Exception;
    }

    private Main() {}

    public static void main(String[] arguments) throws Exception {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        Case chosen = (Case) Class.forName(arguments[0]).getDeclaredConstructor().newInstance();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Record record = new Record(Path.of(arguments[1]).resolve("record.txt"))) {
            record.line(arguments[0] + (trouble ? " with" : " without") + " the disruption");
            try (Platform platform = new Platform(record)) {
                chosen.play(record, platform, trouble);
                List<String> broken = record.brokenRules();
                status = record.isBroken(chosen.rule()) ? 1 : 0;
                record.line(broken.isEmpty() ? "no rule was broken" : "broken: " + broken);
            } catch (Exception e) {
                e.printStackTrace();
                record.line("the case could not run: " + e);
                status = 2;
            }
        }
        System.out.println("exit " + status);
        Runtime.getRuntime().halt(status);
    }
}
