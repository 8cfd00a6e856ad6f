use lilaccrank_lab::answer_text::{self, Error};

fn answer(prompt: &str, indexes: impl IntoIterator<Item = usize>) -> String {
    let digest = answer_text::prompt_digest(prompt);
    let tokens = indexes.into_iter().map(|i| answer_text::token(digest, i));
    tokens.collect()
}

macro_rules! check {
    ($name:ident, $text:expr, $expected:pat) => {
        #[test]
        fn $name() {
            let checked = answer_text::check("mine", 3, &$text);
            assert!(matches!(checked, $expected), "{checked:?}");
        }
    };
}

check!(whole, answer("mine", 0..3), Ok(()));
check!(
    cut_between_tokens,
    answer("mine", 0..2),
    Err(Error::CutShort { got: 2, wanted: 3 })
);
check!(
    cut_in_a_token,
    &answer("mine", 0..3)[..50],
    Err(Error::CutShort { got: 2, wanted: 3 })
);
check!(
    doubled,
    answer("mine", [0, 1, 1, 2]),
    Err(Error::Misplaced { index: 2, .. })
);
check!(empty, "", Err(Error::CutShort { got: 0, wanted: 3 }));
check!(
    foreign,
    answer("other", 0..3),
    Err(Error::Foreign { index: 0, .. })
);
check!(
    foreign_at_the_end,
    answer("mine", 0..2) + &answer("other", 2..3),
    Err(Error::Foreign { index: 2, .. })
);
check!(
    gap,
    answer("mine", [0, 2]),
    Err(Error::Misplaced { index: 1, .. })
);
check!(
    too_long,
    answer("mine", 0..4),
    Err(Error::TooLong { got: 4, wanted: 3 })
);
