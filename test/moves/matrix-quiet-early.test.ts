import { testMatrix } from './matrix.ts';

testMatrix({
  name: 'quiet, early deadline',
  requestsPerSecond: 0.5,
  windowMs: 600_000,
  maxUnprovedFraction: 0.15,
});
