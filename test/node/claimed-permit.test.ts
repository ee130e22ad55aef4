import test from 'ava';
import { AttemptTracker, claimFold, findClaim } from '@ragwortrudder/claims';
import type { ClaimEntry, ClaimQuery, ClaimState } from '@ragwortrudder/claims';
import { POSITIONS_PER_RECORD } from '@ragwortrudder/log';
import { ClaimedPermit } from '../../packages/node/src/node/requests/claimed-permit.ts';

const SELF = { node: 'a', incarnation: 1 };
const SUBJECT = { tenant: 'novak', key: 'order-1' };

/** In-memory stream of claims whose next write can fail before or after it takes effect. */
class InMemoryClaims {
  readonly #fold = claimFold();
  readonly tracker = new AttemptTracker();
  readonly written: string[] = [];
  state: ClaimState = this.#fold.initial;
  nextWriteLoss: 'before' | 'after' | undefined;
  #offset = 0;

  async write(entry: ClaimEntry): Promise<number> {
    await Promise.resolve();
    const loss = this.nextWriteLoss;
    this.nextWriteLoss = undefined;
    if (loss === 'before') throw new RangeError('lost');
    const position = this.#offset * POSITIONS_PER_RECORD;
    this.#offset += 1;
    this.state = this.#fold.apply(this.state, {
      position,
      offset: this.#offset - 1,
      id: String(position),
      time: 1000,
      body: entry,
    });
    this.written.push(entry.type === 'outcome' ? entry.word : entry.type);
    if (loss === 'after') throw new RangeError('lost');
    return position;
  }

  find(tenant: string, key: string): ReturnType<typeof findClaim> {
    return findClaim(this.state, tenant, key);
  }

  async claim(): Promise<void> {
    await this.write({ type: 'claim', ...SUBJECT, ...SELF, requestDigest: 'd', service: 'orders' });
  }

  permit(): ClaimedPermit {
    const query = (): ClaimQuery => ({
      ...SUBJECT,
      self: SELF,
      requestDigest: 'd',
      isGone: () => false,
      isStarted: (attempt) => this.tracker.isStarted(attempt),
      logAvailable: true,
      retryAfterMs: 100,
    });
    return new ClaimedPermit({ claims: this, tracker: this.tracker, query });
  }
}

test('a request may be sent exactly once, after its "sending" entry was read back', async (t) => {
  const claims = new InMemoryClaims();
  await claims.claim();
  const first = claims.permit();
  t.is(await first.begin(), undefined);
  const second = await claims.permit().begin();
  t.false(second?.notRun);
  await first.finish('completed', { ok: true });
  t.is(claims.find('novak', 'order-1')?.phase, 'completed');
  t.deepEqual(claims.written, ['claim', 'sending', 'completed']);
});

test('a request whose "sending" entry was not confirmed is never sent and is reported as not run', async (t) => {
  for (const loss of ['before', 'after'] as const) {
    const claims = new InMemoryClaims();
    await claims.claim();
    claims.nextWriteLoss = loss;
    const permit = claims.permit();
    const outcome = await permit.begin();
    t.true(outcome?.notRun);
    t.truthy((await claims.permit().begin())?.code);
    await permit.finish('not-run');
  }
});

test('a second permit of the node cannot finish the attempt that the first one began', async (t) => {
  const claims = new InMemoryClaims();
  await claims.claim();
  const first = claims.permit();
  await first.begin();
  const second = claims.permit();
  await second.begin();
  await second.finish('not-run');
  t.is(claims.find('novak', 'order-1')?.phase, 'sending');
  await first.finish('completed');
  t.is(claims.find('novak', 'order-1')?.phase, 'completed');
});

test('a postponed outcome applies only to its own attempt after the key was claimed again', async (t) => {
  const claims = new InMemoryClaims();
  await claims.claim();
  const first = claims.permit();
  await first.begin();
  claims.nextWriteLoss = 'after';
  await t.throwsAsync(first.finish('not-run'));
  await claims.claim();
  const second = claims.permit();
  t.is(await second.begin(), undefined);
  await first.finish('not-run');
  t.is(claims.find('novak', 'order-1')?.phase, 'sending');
});

test('a permit that is in use cannot be given up', async (t) => {
  const claims = new InMemoryClaims();
  await claims.claim();
  const permit = claims.permit();
  const beginning = permit.begin();
  t.false(permit.giveUp());
  await beginning;
  t.false(permit.giveUp());
  const other = new InMemoryClaims();
  await other.claim();
  t.true(other.permit().giveUp());
  t.truthy((await other.permit().begin())?.code);
});
