/** The verbs that function names begin with; docs/verbs.md explains each. */
export const verbs =
  'add advance append apply ask assert attach begin build cancel check checkpoint choose claim clear close collect compare compute connect count create decide decode deliver describe detach dispatch drain drop encode end enqueue ensure estimate evict execute expect expire explain export fail fetch find finish flush fold format forward generate get grant handle has hash hold is can list load log make mark mask measure merge move note notify observe open parse pause pick place poll post preempt print probe publish push put rank read receive reconnect record refuse register release remove renew render replay report requeue reserve reset resolve respond restore resume retry return route run schedule score select send serve set should shrink sort split start step stop submit subscribe skip sum sweep take throttle tick to touch track try unref update validate verify wait walk wants watch with write'.split(
    ' ',
  );

/** Matches a name that is a verb alone or a verb followed by a capital letter or a digit. */
export const functionNamePattern = `^(${verbs.join('|')})([A-Z0-9]|$)`;
