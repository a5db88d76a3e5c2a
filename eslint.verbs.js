/** The verbs that function names begin with; docs/verbs.md explains each. */
export const verbs =
  'accept add adopt advance advise answer append apply ask assert attach begin build call can cancel check checkpoint choose claim clear close collect compare compute confirm connect count create decide decode deliver describe dispatch drain drop dump encode end ensure estimate execute expect expire explain fail fetch find finish flush fold follow format forward generate get grant handle has hash hold is list listen load log lose mark mask measure merge move notify observe open pace parse pick place poll post preempt print probe publish push put rank read receive record refresh refuse register release remove render renew replay report request requeue reserve reset resolve respond restore resume retry return route run save schedule score select send serve set settle should skip sort split start step stop submit subscribe sum suspect sweep take throttle tick to track try update verify wait watch with write'.split(
    ' ',
  );

/** Matches a name that is a verb alone or a verb followed by a capital letter or a digit. */
export const functionNamePattern = `^(${verbs.join('|')})([A-Z0-9]|$)`;
