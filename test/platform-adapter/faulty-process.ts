import { watchFaults } from '../../platform/src/node/watch-faults.ts';

const [, , fault] = process.argv;

watchFaults({
  source: process,
  log: {
    notable: (event, fields) => {
      process.stdout.write(`${JSON.stringify({ event, ...fields })}\n`);
    },
  },
});
setTimeout(() => {
  process.stdout.write('went on\n');
}, 200);
setTimeout(() => {
  if (fault === 'rejection') void Promise.reject(new Error('nobody waits'));
  else throw new Error('nobody catches');
}, 10);
