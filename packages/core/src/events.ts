/** Hot `most` streams that code can push into. */
import * as most from 'most';

/** A stream and the function that feeds it. */
export interface Subject<T> {
  readonly stream: most.Stream<T>;
  /**
   * Delivers a value to all observers that are subscribed now. An observer that
   * throws doesn't keep the others from it; the first error is thrown at the end.
   */
  push(value: T): void;
  /** Ends the stream for all observers. */
  end(): void;
}

/** Creates a subject. Values pushed while nobody observes are dropped. */
export function createSubject<T>(): Subject<T> {
  const sinks = new Set<{ sink: most.Sink<T>; scheduler: most.Scheduler }>();
  const source: most.Source<T> = {
    run(sink, scheduler) {
      const entry = { sink, scheduler };
      sinks.add(entry);
      return {
        dispose: () => {
          sinks.delete(entry);
        },
      };
    },
  };
  return {
    stream: new most.Stream(source),
    push(value) {
      const errors: unknown[] = [];
      for (const { sink, scheduler } of [...sinks]) {
        try {
          sink.event(scheduler.now(), value);
        } catch (error) {
          errors.push(error);
        }
      }
      if (errors.length > 0) throw errors[0];
    },
    end() {
      for (const { sink, scheduler } of [...sinks]) sink.end(scheduler.now());
      sinks.clear();
    },
  };
}
