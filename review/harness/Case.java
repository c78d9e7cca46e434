package review;

import java.nio.file.Path;
import java.util.List;

/** Base of the cases: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
abstract class Case {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Record record;
    Path root;

    /** Returns what breaks the rule; an empty list if it held, null if the case couldn't run. */
    abstract List<String> play() throws Exception;

    static void run(Case one, String[] args) {
        int code = 2;
        try {
            one.root = Path.of(args[0]).toAbsolutePath().normalize();
            one.record = new Record(Path.of(args[1]).resolve("record.txt"));
            one.record.line(one.trouble ? "with the disruption" : "without the disruption");
            List<String> broken = one.play();
            if (broken == null) one.record.line("the case couldn't run");
            else {
                broken.stream().limit(20).forEach(line -> one.record.line("BROKEN " + line));
                one.record.line(broken.isEmpty() ? "the rule held" : "the rule was broken " + broken.size() + " time(s)");
                broken.stream().limit(3).forEach(System.out::println);
                System.out.println(broken.isEmpty() ? "the rule held" : "the rule was broken " + broken.size() + " time(s)");
                code = broken.isEmpty() ? 0 : 1;
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }
}
