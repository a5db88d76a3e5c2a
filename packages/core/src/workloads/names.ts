/** Text form of step, task and run keys, used as map keys and in logs. */
import type * as types from './types.js';

/** Formats a step as `job.occurrence.step`. */
export function formatStep(step: types.StepKey): string {
  return `${step.job}.${step.occurrence}.${step.step}`;
}

/** Formats a task as `job.occurrence.step.index`. */
export function formatTask(task: types.TaskKey): string {
  return `${formatStep(task)}.${task.index}`;
}

/** Formats a run as `job.occurrence.step.index#run`. */
export function formatRun(task: types.TaskKey, run: number): string {
  return `${formatTask(task)}#${run}`;
}

/** Parses a key made by `formatTask`; returns undefined when the text is malformed. */
export function parseTask(text: string): types.TaskKey | undefined {
  const parts = text.split('.');
  const [job, occurrence, step, index] = parts;
  if (parts.length !== 4 || job === undefined || job === '') return undefined;
  const numbers = [occurrence, step, index].map(Number);
  if (!numbers.every((number) => Number.isInteger(number) && number >= 0))
    return undefined;
  return {
    job,
    occurrence: Number(occurrence),
    step: Number(step),
    index: Number(index),
  };
}
