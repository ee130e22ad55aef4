export interface Act {
  readonly at: number;
  readonly holder: string;
  readonly token: number;
}

/** Acts that show two holders: in the order A, B, A inside the lease, or with a lower token. */
export function conflictsOf(acts: readonly Act[], leaseMs: number): readonly string[] {
  const found: string[] = [];
  let newest = 0;
  for (const [index, act] of acts.entries()) {
    if (act.token < newest) found.push(`${act.at.toFixed(0)}: ${act.holder} with a lower token`);
    newest = Math.max(newest, act.token);
    const earlier = acts.slice(0, index);
    const other = earlier.findLastIndex(({ holder }) => holder !== act.holder);
    const before = earlier
      .slice(0, Math.max(0, other))
      .findLast(({ holder }) => holder === act.holder);
    if (!before || act.at - before.at > leaseMs) continue;
    const by = earlier[other]?.holder ?? '';
    const from = before.at.toFixed(0);
    found.push(`${act.holder} at ${from}, ${by}, ${act.holder} at ${act.at.toFixed(0)}`);
  }
  return found;
}
