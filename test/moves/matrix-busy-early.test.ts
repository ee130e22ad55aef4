import { testMatrix } from './matrix.ts';

testMatrix({
  name: 'busy, early deadline',
  requestsPerSecond: 20,
  windowMs: 60_000,
  maxUnprovedFraction: 0.01,
});
