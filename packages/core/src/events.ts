/** Subjects: hot event streams of the library `most` into which code pushes values. */
import * as most from 'most';

/** An event stream and the functions that push to it and end it. */
export interface Subject<T> {
  readonly stream: most.Stream<T>;
  /**
   * Delivers a value to all current observers. If observers throw, the others still get
   * the value, and then the first error is thrown.
   */
  push(value: T): void;
  /** Ends the stream for all observers. */
  end(): void;
}

/** Creates a subject. Values that are pushed while there are no observers are dropped. */
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
