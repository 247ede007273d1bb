import gts from 'gts';

export default [
  {
    ignores: [
      '**/dist/**',
      '**/build/**',
      '**/generated/**',
      '.tap/**',
      'target/**',
      'platform/bundle/**',
    ],
  },
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: [
          'packages/*/tsconfig.json',
          'tsconfig.test.json',
          'platform/tsconfig.json',
          'platform/tsconfig.test.json',
        ],
      },
    },
    rules: {
      '@typescript-eslint/explicit-module-boundary-types': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      'n/no-missing-import': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
  {
    files: ['**/*.js'],
    languageOptions: {sourceType: 'module', ecmaVersion: 2022},
    rules: {
      'n/no-missing-import': 'off',
      'n/no-process-exit': 'off',
      'n/no-unpublished-import': 'off',
    },
  },
];
