/** Whether a value has more levels of nested lists and objects; walks it without recursion. */
export function isDeeperThan(value: unknown, maxDepth: number): boolean {
  const open: (readonly [value: unknown, depth: number])[] = [[value, 0]];
  for (let item = open.pop(); item; item = open.pop()) {
    const [inner, depth] = item;
    if (typeof inner !== 'object' || inner === null) continue;
    if (depth >= maxDepth) return true;
    for (const child of Object.values(inner)) open.push([child, depth + 1]);
  }
  return false;
}
