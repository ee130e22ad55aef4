import test from 'ava';
import { BodyBudget } from '../../packages/gateway/src/utils/body-budget.ts';

class Body {
  isEvicted = false;

  evict(): void {
    this.isEvicted = true;
  }
}

test('the largest body that is still arriving is evicted when all take too much', (t) => {
  const budget = new BodyBudget({ totalBytes: 100 });
  const [large, small, newest] = [new Body(), new Body(), new Body()];
  budget.grow(large, 60);
  budget.grow(small, 30);
  budget.grow(newest, 20);
  t.deepEqual(
    [large, small, newest].map(({ isEvicted }) => isEvicted),
    [true, false, false],
  );
  t.is(budget.usedBytes, 50);
});

test('a body that is whole is kept until its request is answered', (t) => {
  const budget = new BodyBudget({ totalBytes: 100 });
  const [whole, newest] = [new Body(), new Body()];
  budget.grow(whole, 90);
  budget.complete(whole);
  budget.grow(newest, 20);
  t.false(whole.isEvicted);
  t.true(newest.isEvicted);
  t.is(budget.usedBytes, 90);
  budget.remove(whole);
  budget.remove(whole);
  budget.remove(newest);
  t.is(budget.usedBytes, 0);
});

test('a body that grows is counted once', (t) => {
  const budget = new BodyBudget({ totalBytes: 100 });
  const body = new Body();
  budget.grow(body, 40);
  budget.grow(body, 80);
  t.is(budget.usedBytes, 80);
  budget.grow(body, 160);
  t.true(body.isEvicted);
  t.is(budget.usedBytes, 0);
});
